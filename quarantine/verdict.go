package quarantine

import "time"

// A Verdict is what may be done with a request.
type Verdict struct {
	HeldFor time.Duration // it must not be sent to an endpoint for that long; 0: it may
	Strikes int           // endpoints that ended under it since it was last answered
}

// Held reports whether the request must not be sent to an endpoint now.
func (ve Verdict) Held() bool { return ve.HeldFor > 0 }

// Suspect reports whether an endpoint has ended under the request. It may be at
// one endpoint at a time then: two at once could both end.
func (ve Verdict) Suspect() bool { return ve.Strikes > 0 }
