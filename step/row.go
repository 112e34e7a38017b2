package step

import (
	"time"

	"wisteriacroft/incarnation"
	"wisteriacroft/listing"
	"wisteriacroft/overload"
	"wisteriacroft/runner"
)

// An itemState is the state of an item.
type itemState int

const (
	waiting itemState = iota // for a slot of an engine
	running
	scoring // the text is complete and waits for its score
	complete
	lost // abandoned
)

// An itemRow is an item of an open step.
type itemRow struct {
	item          *Item
	step          *stepRow
	state         itemState
	doneAt        time.Time
	events        []runner.Event
	group         *groupRow
	failures      int // failed answers
	reward        rewardRow
	savedEvents   int // events in checkpoints
	knownEvents   int // minimum length in events, from earlier runs
	listed        bool
	moves         int
	size          int       // bytes of the text, if complete
	index         int       // in its step
	ticket        int       // incremented each time the item starts to wait
	stateSince    time.Time // start of waiting or running
	run           run       // if running
	moveTarget    string    // engine with a reserved slot while the item moves
	avoidedEngine string    // engine that the last run was on
}

// A run is the run of an item on an engine.
type run struct {
	engine      *engineRow
	confirmed   bool // the attendant has reported it
	engineID    string
	eventAt     time.Time // of the newest event, or of the launch
	key         runner.Key
	priorEvents int    // events at launch
	acked       int    // number of events acknowledged to the attendant plus 1; 0 before the first
	ackedEnd    bool   // the end has been acknowledged to the attendant
	storedScore string // score that the attendant has stored
	stopping    bool
	stopSent    bool // the attendant was asked to stop the run
	version     uint64
}

// A groupRow is a group of an open step.
type groupRow struct {
	recurring bool // also in an earlier step
	items     []*itemRow
	stale     bool // summary is out of date
	step      *stepRow
	summary   groupSummary
	openItems int
	plan      overload.Group // of the last capacity plan
}

// A stepRow is a step and its progress.
type stepRow struct {
	holdChangedAt      time.Time // when an operator held or released it
	seenAt             time.Time // when this scheduler first saw the step
	step               *Step
	ended              bool
	estimator          *tokenEstimator // of the step's model
	tokenTime          time.Duration   // per token on the service's engines; 0 means unknown
	rewards            *rewardEstimator
	groups             map[string]*groupRow
	groupList          []*groupRow    // ordered by their first items
	interleaved        bool           // items of a group aren't consecutive
	waitingCount       int            // number of waiting items
	queue              stepQueue      // of waiting items
	summaryEventTokens int            // tokens per event that the group summaries were made with
	summaryTokenTime   time.Duration  // time per token that the group summaries were made with
	summariesChanged   bool           // group summaries changed after leastTokens and movingCount
	leastTokens        int            // lower bound of the tokens of a waiting item
	movingCount        int            // waiting items with a reserved slot
	orderIndex         int            // index of the step, in this round of placement
	placement          *placement     // that candidates belongs to
	candidates         *candidateList // engines that can run the step's items
	customerRank       int            // of the customer, in this round of placement
	items              []*itemRow
	chunks             int             // number of listed chunks
	chunkSizesKnown    bool            // chunkSizes is set
	chunkSizes         []int           // results per chunk
	checkpoints        int             // number of stored checkpoints
	listedAt           time.Time       // of the last results
	reads              []*listing.Read // waiting for results
	readAt             time.Time       // when a read last waited
	listingReason      listing.Reason  // of the last listing
	writtenAt          time.Time       // start of the current write of results, or zero
	planned            int             // groups with reserved capacity, as last logged
	plannedAt          time.Time       // when planned was logged
	servedAt           time.Time       // when the last group was completed in time
	served             bool            // everything that the trainer waits for is listed
	ending             bool            // the trainer is expected to end the step soon
	results            []Result        // from position unread on
	unread             int             // results listed by an earlier scheduler and not loaded
	listedSignal       chan struct{}   // closed when results are listed
	idle               bool            // all items are listed, or the step has ended
	resultsLoaded      bool            // results listed before this term are loaded
}

// An engineRow is an engine with its attendant.
type engineRow struct {
	id              string
	address         string             // of the attendant
	boot            string             // changes with each start of the attendant
	endpoint        string             // address of the engine
	incarnation     incarnation.Number // of the engine that the row describes
	toForget        map[runner.Key]bool
	foreignRequests int // running requests that aren't items
	estimateChanges *estimateChanges
	replaced        bool // another engine responds at its address
	items           map[runner.Key]*itemRow
	retained        map[runner.Key]*itemRow // complete items that the attendant retains until they are listed
	leaving         bool
	memo            memoryMemo
	order           *runner.Order // to load weights, until done
	orderAt         time.Time
	orderAcked      bool      // the attendant has acknowledged the order
	brokeRunAt      time.Time // of the last broken run
	respondedAt     time.Time // last response of the attendant
	joinedAt        time.Time
	basePace        time.Duration // time per event without load, as last measured; 0 means unknown
	report          runner.Report
	incoming        map[*itemRow]bool // items that move here, with reserved slots
	slowAt          time.Time         // when the engine was last rated slow
	slowerSince     time.Time         // since when its pace has exceeded the limit
	unreachable     bool              // the engine doesn't respond to its attendant
	service         string
	pace            time.Duration // expected time per event under current load, as of paceRound
	paceRound       int
	candidateIndex  int // index in the last round of placement, or -1; see placement.indexOf
	slots           int
	tokens          int // memory
	versions        map[string]uint64
}
