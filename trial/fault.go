package trial

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"wisteriacroft/instancelist"
	"wisteriacroft/standin"
	"wisteriacroft/unit"
)

// A FaultName names a fault.
type FaultName string

// The faults.
const (
	CrashEngine      FaultName = "crash-engine"      // an engine crashes and restarts
	DrainAttendant   FaultName = "drain-attendant"   // an attendant's instance shuts down and another replaces it
	DrainEntry       FaultName = "drain-entry"       // the entry that owns a trainer's batches shuts down and restarts
	KillAttendant    FaultName = "kill-attendant"    // an attendant is killed and restarts
	KillEntry        FaultName = "kill-entry"        // the entry that owns a trainer's batches is killed and restarts
	LoseAnswers      FaultName = "lose-answers"      // responses of the key-value service to reads and writes are lost
	LoseFolder       FaultName = "lose-folder"       // a data folder loses its content
	PlatformOutage   FaultName = "platform-outage"   // the key-value service and the instance list are unavailable
	RaceOperators    FaultName = "race-operators"    // operators change profiles concurrently
	SilentConnection FaultName = "silent-connection" // all open connections of an attendant stop delivering data
	SlowPlatform     FaultName = "slow-platform"     // the key-value service and the instance list are slow
	SwapFails        FaultName = "swap-fails"        // engines accept orders and don't execute them
)

const (
	downTime     = 3 * time.Second  // until a process restarts
	crashTime    = 3 * time.Second  // of an engine
	lostAnswers  = 20               // responses of the key-value service
	outageTime   = 15 * time.Second // longer than the TTL of a lease
	slowTime     = 10 * time.Second
	slowDelay    = 700 * time.Millisecond
	failingSwaps = 2 // of each engine
	swapTargets  = 2 // number of engines
)

// errNoTarget means that a fault found no target.
var errNoTarget = errors.New("no target for fault")

// A fault is injected during a step.
type fault struct {
	answers expectation // how calls may end
	name    FaultName
	inject  func(ctx context.Context, ru *run) error
}

// allFaults returns the faults, sorted by name.
func allFaults() []fault {
	return []fault{
		{name: CrashEngine, inject: crashEngine},
		{name: DrainAttendant, inject: drainAttendant, answers: allAnswered},
		{name: DrainEntry, inject: drainEntry, answers: allAnswered},
		{name: KillAttendant, inject: killAttendant, answers: allAnswered},
		{name: KillEntry, inject: killEntry, answers: someBroken},
		{name: LoseAnswers, inject: loseAnswers},
		{name: LoseFolder, inject: loseFolder},
		{name: PlatformOutage, inject: platformOutage},
		{name: RaceOperators, inject: raceOperators},
		{name: SilentConnection, inject: silentConnection, answers: allAnswered},
		{name: SlowPlatform, inject: slowPlatform},
		{name: SwapFails, inject: swapFails},
	}
}

// FaultNames returns the names of the faults, sorted.
func FaultNames() []FaultName {
	var names []FaultName
	for _, fa := range allFaults() {
		names = append(names, fa.name)
	}
	return names
}

// faults returns the faults that the options name.
func (ru *run) faults() []fault {
	var chosen []fault
	for _, name := range ru.options.Faults {
		i := slices.IndexFunc(allFaults(), func(fa fault) bool { return fa.name == name })
		chosen = append(chosen, allFaults()[i])
	}
	return chosen
}

// occurrence returns how many earlier faults have the name of the i-th.
func (ru *run) occurrence(i int) int {
	count := 0
	for _, name := range ru.options.Faults[:i] {
		if name == ru.options.Faults[i] {
			count++
		}
	}
	return count
}

// answers returns how calls may end under the chosen faults.
func (ru *run) answers() expectation {
	expected := allWhole
	for _, fa := range ru.faults() {
		expected = max(expected, fa.answers)
	}
	return expected
}

// crashEngine crashes the engine with the most running requests.
func crashEngine(ctx context.Context, ru *run) error {
	name, err := ru.world.busiestEngine(ctx)
	if err != nil {
		return err
	}
	return ru.world.endpoints.SetFault(standin.Fault{
		For: unit.Duration(crashTime), Name: standin.Crash, Target: name,
	})
}

// drainAttendant gracefully shuts down the attendant with the most running
// requests, and starts another instance in its place.
func drainAttendant(ctx context.Context, ru *run) error {
	pr, err := ru.world.busiestAttendant(ctx)
	if err != nil {
		return err
	}
	leaving := pr.instance
	leaving.State = instancelist.Leaving
	if err := ru.world.register(ctx, leaving); err != nil {
		return err
	}
	if err := pr.shutdown(ctx); err != nil {
		ru.verdict.add("a graceful shutdown cut off requests: %v", err)
	}
	if err := ru.world.unregister(ctx, pr); err != nil {
		return err
	}
	pr.replaceInstance()
	return ru.world.restart(ctx, pr)
}

// drainEntry gracefully shuts down the entry that owns the first trainer's
// batches, and restarts it.
func drainEntry(ctx context.Context, ru *run) error {
	pr, err := ru.world.owner(ctx)
	if err != nil {
		return err
	}
	if err := pr.shutdown(ctx); err != nil {
		ru.verdict.add("a graceful shutdown cut off requests: %v", err)
	}
	return ru.world.restart(ctx, pr)
}

// killAttendant kills the attendant with the most running requests and restarts it.
func killAttendant(ctx context.Context, ru *run) error {
	pr, err := ru.world.busiestAttendant(ctx)
	if err != nil {
		return err
	}
	pr.kill()
	return ru.world.restart(ctx, pr)
}

// killEntry kills the entry that owns the first trainer's batches and restarts it.
func killEntry(ctx context.Context, ru *run) error {
	pr, err := ru.world.owner(ctx)
	if err != nil {
		return err
	}
	pr.kill()
	return ru.world.restart(ctx, pr)
}

// loseAnswers makes the key-value service cut connections before it responds.
func loseAnswers(_ context.Context, ru *run) error {
	return ru.world.platform.SetFault(standin.Fault{
		Count: lostAnswers, Name: standin.Drop, Target: standin.KeyValueTarget,
	})
}

// loseFolder empties the first data folder that isn't empty.
func loseFolder(ctx context.Context, ru *run) error {
	for {
		for _, pr := range ru.world.attendants {
			if lost, err := pr.loseFolder(); lost || err != nil {
				return err
			}
		}
		if !sleep(ctx, pollEvery) {
			return errors.Wrap(errNoTarget, "data folder")
		}
	}
}

// platformOutage makes the platform reject calls.
func platformOutage(_ context.Context, ru *run) error {
	return ru.world.platformFault(standin.Fault{For: unit.Duration(outageTime), Name: standin.Outage})
}

// silentConnection silences the connections of the attendant with the most
// running requests.
func silentConnection(ctx context.Context, ru *run) error {
	pr, err := ru.world.busiestAttendant(ctx)
	if err != nil {
		return err
	}
	if pr.silence() == 0 {
		return errors.Wrap(errNoTarget, "connection")
	}
	return nil
}

// slowPlatform delays the platform's responses.
func slowPlatform(_ context.Context, ru *run) error {
	return ru.world.platformFault(standin.Fault{
		Delay: unit.Duration(slowDelay), For: unit.Duration(slowTime), Name: standin.Slow,
	})
}

// platformFault activates a fault at the key-value service and the instance list.
func (wo *world) platformFault(fa standin.Fault) error {
	for _, target := range []string{standin.KeyValueTarget, standin.InstanceListTarget} {
		fa.Target = target
		if err := wo.platform.SetFault(fa); err != nil {
			return err
		}
	}
	return nil
}

// swapFails makes the first engines fail their next loads of weights.
func swapFails(_ context.Context, ru *run) error {
	left := swapTargets
	for _, row := range ru.world.deployment.endpoints.Endpoints {
		for _, name := range row.Names {
			if row.Kind != standin.EngineKind || left == 0 {
				continue
			}
			left--
			err := ru.world.endpoints.SetFault(standin.Fault{Count: failingSwaps, Name: standin.SwapFails, Target: name})
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// restart starts the successor of a process after downTime.
func (wo *world) restart(ctx context.Context, pr *process) error {
	if !sleep(ctx, downTime) {
		return ctx.Err()
	}
	return wo.start(ctx, pr)
}

// owner returns the entry that owns the batches of the first trainer.
func (wo *world) owner(ctx context.Context) (*process, error) {
	name := "trainers/" + wo.deployment.clients.Trainers[0].Name
	for _, pr := range wo.entries {
		st, _ := pr.status(ctx)
		for _, le := range st.Leases {
			if strings.HasSuffix(le.Name, name) {
				return pr, nil
			}
		}
	}
	return nil, errors.Wrapf(errNoTarget, "no entry holds lease %s", name)
}

// busiestAttendant returns the attendant whose endpoints run the most requests.
func (wo *world) busiestAttendant(ctx context.Context) (*process, error) {
	var best *process
	most := -1
	for _, pr := range wo.attendants {
		st, ok := pr.status(ctx)
		running := 0
		for _, es := range st.Endpoints {
			running += es.Running
		}
		if ok && running > most {
			best, most = pr, running
		}
	}
	if best == nil {
		return nil, errors.Wrap(errNoTarget, "attendant")
	}
	return best, nil
}

// busiestEngine returns the engine with the most running requests.
func (wo *world) busiestEngine(ctx context.Context) (string, error) {
	best, most := "", -1
	for _, pr := range wo.attendants {
		st, _ := pr.status(ctx)
		for _, es := range st.Endpoints {
			if wo.endpoints.Engine(es.Name) != nil && es.Running > most {
				best, most = es.Name, es.Running
			}
		}
	}
	if best == "" {
		return "", errors.Wrap(errNoTarget, "engine")
	}
	return best, nil
}
