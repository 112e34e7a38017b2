package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"wisteriacroft/forward"
	"wisteriacroft/keyvalue"
	"wisteriacroft/platform"
	"wisteriacroft/quarantine"
)

// errNoStore means that neither flag for a key-value service was set.
var errNoStore = errors.New("name the key-value service by --platform, or that of the users' platform by --store")

// A QuarantineCmd holds the commands to list and lift quarantined requests.
type QuarantineCmd struct {
	Lift QuarantineLiftCmd `cmd:"" help:"Let a request be sent to endpoints again."`
	List QuarantineListCmd `cmd:"" help:"List requests under which endpoints ended."`
}

// QuarantineFlags are the flags for the service that stores the records.
type QuarantineFlags struct {
	Platform string        `env:"WISTERIACROFT_PLATFORM" help:"Base URL of the key-value service." placeholder:"URL"`
	Store    string        `help:"Address of the key-value service of the users' platform, instead." placeholder:"IP:PORT"`
	Timeout  time.Duration `default:"5s" help:"How long to wait for the service."`
}

// openStore returns the store of the records.
func (qf QuarantineFlags) openStore(env *ProfileEnv) (*quarantine.Store, error) {
	log := logrus.New()
	log.SetOutput(io.Discard) // the command returns errors instead
	st := &quarantine.Store{Log: logrus.NewEntry(log), Table: &quarantine.Table{}}
	switch {
	case qf.Store != "":
		st.Client = platform.NewStore(qf.Store, forward.NewHTTPClient())
	case qf.Platform != "":
		var err error
		if st.Client, err = env.OpenFunc(qf.Platform); err != nil {
			return nil, err
		}
	default:
		return nil, NewExitError(ExitBadInput, errNoStore)
	}
	return st, nil
}

// A QuarantineListCmd lists quarantined requests.
type QuarantineListCmd struct {
	QuarantineFlags
	Output string `default:"table" enum:"table,json" help:"Form of the output: table or json."`
}

// Run prints the requests and items, those with the most crashes first.
func (qc *QuarantineListCmd) Run(ctx context.Context, env *ProfileEnv) error {
	st, err := qc.openStore(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, qc.Timeout)
	defer cancel()
	if err := st.Read(ctx); err != nil {
		return err
	}
	ens := st.Table.Entries(time.Now())
	pr := printer{out: env.Stdout}
	if qc.Output == outputJSON {
		pr.json(ens)
		return errors.Wrap(pr.err, "print")
	}
	if len(ens) == 0 {
		pr.printf("nothing is kept from endpoints\n")
		return pr.err
	}
	pr.table("DIGEST\tSTRIKES\tHELD-FOR\tLAST-END", func(tw io.Writer) {
		for _, en := range ens {
			_, _ = fmt.Fprintf(tw, "%s\t%d\t%s\t%s\n", en.Digest, en.Strikes, en.HeldFor.Round(time.Second), en.LastEnd.Format(time.RFC3339)) // writes to a buffer
		}
	})
	return pr.err
}

// A QuarantineLiftCmd lifts the quarantine of one request.
type QuarantineLiftCmd struct {
	QuarantineFlags
	Digest string `arg:"" help:"Digest of the request, as logs and list name it."`
	DryRun bool   `help:"Say what would be lifted, and change nothing."`
}

// Run lifts the quarantine. It fails if the request is not quarantined.
func (qc *QuarantineLiftCmd) Run(ctx context.Context, env *ProfileEnv) error {
	st, err := qc.openStore(env)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, qc.Timeout)
	defer cancel()
	di := quarantine.Digest(qc.Digest)
	if qc.DryRun {
		if err := st.Read(ctx); err != nil {
			return err
		}
		for _, en := range st.Table.Entries(time.Now()) {
			if en.Digest == di {
				_, err := fmt.Fprintf(env.Stdout, "would lift %s, %d endpoints ended under it\n", di, en.Strikes)
				return err
			}
		}
		return errors.Wrapf(quarantine.ErrNotQuarantined, "%s", di)
	}
	if err := st.Lift(ctx, di); err != nil {
		if errors.Is(err, keyvalue.ErrOutcomeUnknown) {
			return NewExitError(ExitUnknown, err)
		}
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "lifted %s\n", di)
	return err
}
