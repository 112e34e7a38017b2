package cmd

import (
	"context"

	"go.uber.org/fx"

	"wisteriacroft/attendant"
	"wisteriacroft/settings"
)

// An AttendantCmd runs an attendant.
type AttendantCmd struct{ SettingsFlags }

// Run serves until ctx is done.
func (ac *AttendantCmd) Run(ctx context.Context, out Output) error {
	se, err := readSettings(ac.Settings, settings.ReadAttendant)
	if err != nil || ac.Check {
		return err
	}
	return serveRole(ctx, out, se.Process, fx.Options(fx.Supply(se), attendant.Module))
}
