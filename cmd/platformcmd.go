package cmd

// A PlatformCmd holds the roles as they run on the users' platform, which
// writes their settings itself.
type PlatformCmd struct {
	Attendant PlatformAttendantCmd `cmd:"" help:"Run items at the engine of one instance, and give it its orders."`
	Entry     PlatformEntryCmd     `cmd:"" help:"Serve callers and trainers."`
	Scheduler PlatformSchedulerCmd `cmd:"" help:"Place and list the items of trainers' steps."`
}
