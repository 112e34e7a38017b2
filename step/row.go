package step

import (
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/listing"
	"wisteriacroft/overload"
	"wisteriacroft/quarantine"
	"wisteriacroft/runner"
)

// An itemState is where an item stands.
type itemState int

// The states of items.
const (
	waiting itemState = iota // for a place at an engine
	running                  // at the engine of its run
	scoring                  // the text is whole and waits for its score
	complete
	lost // given up
)

// An itemRow is an item of an open step.
type itemRow struct {
	item     *Item
	digest   quarantine.Digest
	step     *stepRow
	state    itemState
	doneAt   time.Time
	events   []runner.Event
	group    *groupRow
	failures int // answers of engines that failed
	reward   rewardRow
	saved    int // events that are kept in a checkpoint
	known    int // events that an earlier run made, at least
	listed   bool
	moves    int
	size     int       // of the text of an item that is complete, in bytes
	index    int       // in its step
	ticket   int       // grows each time it comes to wait
	since    time.Time // waiting or running since then
	run      run       // if running
	target   string    // engine that keeps a place for the item while it moves
	unwanted string    // engine that the item was moved away from
}

// A run is the run of an item at an engine.
type run struct {
	at        *engineRow
	confirmed bool // the attendant has it
	engine    string
	eventAt   time.Time // of the newest event, or of the launch
	key       runner.Key
	prior     int    // events that it was launched with
	said      int    // events that the attendant knows to be here, and one
	saidEnd   bool   // the attendant knows that the end is known here
	saidScore string // the score that the attendant keeps
	stopping  bool
	version   uint64
}

// A groupRow counts the items of a group that are not complete.
type groupRow struct {
	again bool // it was in an earlier step too
	items []*itemRow
	stale bool // items have changed since it was gathered
	step  *stepRow
	wait  groupWait
	left  int            // open items
	plan  overload.Group // by the last plan, while open
}

// A stepRow is a step that the scheduler holds.
type stepRow struct {
	seenAt       time.Time // this scheduler learned of it
	step         *Step
	ended        bool
	gauge        *tokenGauge   // of the step's model
	tokenTime    time.Duration // that a token takes at its engines; 0 means unknown
	rewards      *rewardEstimator
	groups       map[string]*groupRow
	list         []*groupRow   // by their first items
	interleaved  bool          // items of a group don't stand together
	waits        int           // items that wait
	queue        stepQueue     // of items that wait
	eventTokens  int           // that an event held when the groups were gathered
	gatheredTime time.Duration // that a token took then
	gathered     bool          // groups were gathered since least and moving were worked out
	least        int           // tokens: each waiting item holds as many or more
	moving       int           // waiting items that an engine keeps a place for
	place        int           // in the order of steps, in this round of placing
	round        *placing      // in which seats was made
	seats        *seatList     // of engines that can run the step's items
	rank         int           // of the customer, in this round of placing
	items        []*itemRow
	chunks       int             // that are listed
	counted      bool            // counts are known
	counts       []int           // results of each chunk
	checkpoints  int             // that are kept
	listedAt     time.Time       // of the last results
	reads        []*listing.Read // that wait for results
	readAt       time.Time       // a read last waited
	why          listing.Reason  // of the last listing
	writtenAt    time.Time       // results are being written since then; zero if not
	planned      int             // groups that room was kept for, as last logged
	plannedAt    time.Time       // of that line
	servedAt     time.Time       // the last group was whole in time
	served       bool            // all that the trainer waits for is listed
	ending       bool            // the trainer is expected to wait for no more soon
	results      []Result        // from the position unread on
	unread       int             // results of an earlier scheduler that are not held here
	changed      chan struct{}   // closed when results are listed
	idle         bool            // all items are listed, or it has ended
	loaded       bool            // results that were listed before this term are in
}

// An engineRow is an engine and the attendant beside it.
type engineRow struct {
	id        string
	address   string // of the attendant
	boot      string
	endpoint  string             // address of the engine
	born      incarnation.Number // the start that the rest is known of
	forget    map[runner.Key]bool
	foreign   int // requests of others that it runs
	gauges    *gaugeChanges
	gone      bool // another answers at its address
	items     map[runner.Key]*itemRow
	kept      map[runner.Key]*itemRow // whole, and held by the attendant until they are listed
	leaving   bool
	memo      memoryMemo
	order     *runner.Order // wanted, until it holds
	orderAt   time.Time
	ordered   bool      // the attendant has the order
	failed    time.Time // of the last run that it didn't finish
	heardAt   time.Time // the attendant answered
	joinedAt  time.Time
	base      time.Duration // of an event of a single short run, as last seen; 0 means unknown
	report    runner.Report
	coming    map[*itemRow]bool // items that move here, for which places are kept
	slowAt    time.Time         // it was much slower than the others
	slowerAt  time.Time         // it has been slower since then without a break
	sick      bool              // its engine doesn't answer its attendant
	service   string
	pace      time.Duration // of an event beside all that it runs, as of paceRound
	paceRound int
	seat      int // number in the last round of placing, or -1; see placing.seatOf
	slots     int
	tokens    int // memory
	versions  map[string]uint64
}
