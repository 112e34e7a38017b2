package cmd

import (
	"context"

	"go.uber.org/fx"

	"wisteriacroft/platform"
)

// A PlatformCmd holds the commands of the roles on the users' platform, which writes
// their settings files.
type PlatformCmd struct {
	Attendant PlatformAttendantCmd `cmd:"" help:"Run items at the engine of one instance, and give it its orders."`
	Entry     PlatformEntryCmd     `cmd:"" help:"Serve callers and trainers."`
	Scheduler PlatformSchedulerCmd `cmd:"" help:"Place and list the items of trainers' steps."`
}

// PlatformFlags are the flags of the roles on the platform.
type PlatformFlags struct {
	Check bool `help:"Read the settings, report all findings and end without starting."`
}

// A platformRole is a role on the platform, with what its process has from outside.
type platformRole struct {
	build   func(ho *host) fx.Option
	hangups Hangups
	name    string
	out     Output
}

// serve runs a role until ctx is done.
func (pf PlatformFlags) serve(ctx context.Context, ro platformRole) error {
	se, err := platform.LoadSettings()
	if err != nil || pf.Check {
		return err
	}
	ho := newHost(ro.name, se, ro.out.Stdout)
	go ho.reload(ro.hangups)
	return ho.run(ctx, ro.build(ho))
}
