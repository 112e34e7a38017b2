package cmd

import (
	"context"

	"go.uber.org/fx"

	"wisteriacroft/entry"
	"wisteriacroft/settings"
)

// An EntryCmd runs an entry.
type EntryCmd struct{ SettingsFlags }

// Run serves until ctx is done.
func (ec *EntryCmd) Run(ctx context.Context, out Output) error {
	se, err := readSettings(ec.Settings, settings.ReadEntry)
	if err != nil || ec.Check {
		return err
	}
	return serveRole(ctx, out, se.Process, fx.Options(fx.Supply(se), entry.Module))
}
