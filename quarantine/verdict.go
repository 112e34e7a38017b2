package quarantine

import "time"

// A Verdict states whether a request may be sent.
type Verdict struct {
	HeldFor time.Duration // how long it must not be sent; 0 means that it may be
	Strikes int           // endpoints that crashed since its last success
}

// Held reports whether the request must not be sent to an endpoint now.
func (ve Verdict) Held() bool { return ve.HeldFor > 0 }

// Suspect reports whether an endpoint has crashed while running the request. Such a request may
// run at one endpoint at a time only.
func (ve Verdict) Suspect() bool { return ve.Strikes > 0 }

// MustTry reports whether the request may be sent by one caller at a time only.
func (ve Verdict) MustTry() bool { return ve.Strikes >= trialThreshold }
