package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/cockroachdb/errors"

	"wisteriacroft/standin"
)

// A StandInCmd is the command `stand-in`, with a sub-command for each simulated system.
type StandInCmd struct {
	Endpoints StandInEndpointsCmd `cmd:"" help:"Serve model engines and plain services."`
	Platform  StandInPlatformCmd  `cmd:"" help:"Serve the key-value service, the instance list and the weight store."`
	Trainer   StandInTrainerCmd   `cmd:"" help:"Train on batches, or send live calls, and end with a summary."`
}

// StandInFlags are the flags of each stand-in.
type StandInFlags struct {
	Check    bool   `help:"Read the settings, report all findings and end."`
	Settings string `help:"Settings file (TOML)."                           placeholder:"FILE" required:"" type:"existingfile"`
}

// A StandInEndpointsCmd is the command `stand-in endpoints`.
type StandInEndpointsCmd struct{ StandInFlags }

// Run serves until ctx is done.
func (co *StandInEndpointsCmd) Run(ctx context.Context, stdout io.Writer) error {
	se, err := readSettings(co.Settings, standin.ReadEndpointsSettings)
	if err != nil || co.Check {
		return err
	}
	return listen(ctx, stdout, se.Listen, standin.NewEndpoints(se).Serve)
}

// A StandInPlatformCmd is the command `stand-in platform`.
type StandInPlatformCmd struct{ StandInFlags }

// Run serves until ctx is done.
func (co *StandInPlatformCmd) Run(ctx context.Context, stdout io.Writer) error {
	se, err := readSettings(co.Settings, standin.ReadPlatformSettings)
	if err != nil || co.Check {
		return err
	}
	return listen(ctx, stdout, se.Listen, standin.NewPlatform(se).Serve)
}

// readSettings reads a settings file.
func readSettings[Settings any](path string, read func(string, []byte) (Settings, error)) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none Settings
		return none, errors.Wrap(err, "read settings")
	}
	return read(path, data)
}

// listen serves on an address and prints the bound one, which differs for port 0.
func listen(
	ctx context.Context, stdout io.Writer, address string, serve func(context.Context, net.Listener) error,
) error {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	_, _ = fmt.Fprintf(stdout, "listening on http://%s\n", ln.Addr())
	return serve(ctx, ln)
}

// A StandInTrainerCmd is the command `stand-in trainer`.
type StandInTrainerCmd struct{ StandInFlags }

// Run runs the trainers and callers and prints their summary as a line of JSON, even if
// ctx is done early.
func (co *StandInTrainerCmd) Run(ctx context.Context, stdout io.Writer) error {
	se, err := readSettings(co.Settings, standin.ReadClientsSettings)
	if err != nil || co.Check {
		return err
	}
	sum, err := standin.NewClients(se, nil).Run(ctx)
	if encodeErr := json.NewEncoder(stdout).Encode(sum); err == nil {
		err = encodeErr
	}
	return err
}
