package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"wisteriacroft/platform/standin"
)

// Customers that compete for endpoints short of places: crowdCustomer asks for ten times its
// part, secondCustomer for a quarter of its own.
const (
	rivalService = "counter"
	rivalRoute   = "rival"
	rivalPrefix  = "rival-" // of the ids of requests; the customer's follows
	rivalDesks   = 2
	rivalPlaces  = 4 // of each
	rivalWork    = 200 * time.Millisecond
	rivalGoal    = 6 * rivalWork
	// rivalPart is how many requests a second are each customer's part.
	rivalPart = rivalDesks * rivalPlaces * int(time.Second/rivalWork) / 2
	// manyOpen is how many requests each has open at most.
	manyOpen = 60
	// learnBounds is how long entries may take to learn the customers' bounds: endpoints
	// refuse, entries tell, and who divides waits until all have.
	learnBounds = 3 * time.Second
	// leastServed is which part of its requests the small customer has served in calm.
	leastServed = 0.9
)

// A heard is what a caller heard of a request to which an answer may be a refusal.
type heard struct {
	at         time.Time
	customer   string
	id         string
	retryAfter string
	status     int // 0: no answer
	wrong      bool
}

// buildRivals registers the endpoints that are short of places.
func (wo *world) buildRivals(ctx context.Context) error {
	for i := range rivalDesks {
		if !wo.parts.has(rivalsPart) {
			return nil
		}
		de := &standin.PlainEndpoint{ID: fmt.Sprint("counter-", i), Places: rivalPlaces, Work: rivalWork}
		wo.desks = append(wo.desks, de)
		if err := wo.register(ctx, de.ID, rivalService, wo.ip(5, i), de, de.StartedAt, nil); err != nil {
			return err
		}
	}
	return nil
}

// compete makes requests of two customers for a time.
func (rn *run) compete(ctx context.Context, length time.Duration) {
	if !rn.parts.has(rivalsPart) {
		return
	}
	rn.note("customers compete")
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	rn.rivalsBegun = time.Now()
	var both sync.WaitGroup
	both.Go(func() { rn.press(ctx, crowdCustomer, time.Second/time.Duration(10*rivalPart)) })
	both.Go(func() { rn.press(ctx, secondCustomer, 4*time.Second/time.Duration(rivalPart)) })
	both.Wait()
}

// press makes a customer's requests at a steady rate, whether those before are answered or not.
func (rn *run) press(ctx context.Context, customer string, every time.Duration) {
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: manyOpen}}
	defer cl.CloseIdleConnections()
	var open sync.WaitGroup
	places := make(chan struct{}, manyOpen)
	for number := 0; ctx.Err() == nil; number++ {
		select {
		case places <- struct{}{}:
			open.Go(func() {
				defer func() { <-places }()
				id := fmt.Sprintf("%s%s-%d", rivalPrefix, customer, number)
				rn.askOnce(context.WithoutCancel(ctx), cl, number, customer, "/"+rivalRoute+"/"+id, id)
			})
		default: // it has no more callers
		}
		sleep(ctx, every)
	}
	open.Wait()
}

// askOnce makes a request that may run once, and notes what its caller hears.
func (rn *run) askOnce(ctx context.Context, cl *http.Client, entry int, customer, path, id string) {
	text := "body of " + id
	// A reader of its own type can't be read again, so that net/http sends once.
	body := struct{ *strings.Reader }{strings.NewReader(text)}
	he := heard{at: time.Now(), customer: customer, id: id}
	an, err := rn.clientOf(cl, entry, customer).Ask(ctx, path, id, body, callDeadline)
	if err == nil {
		he.status, he.retryAfter = an.Status, an.RetryAfter
		he.wrong = an.Status == http.StatusOK && string(an.Body) != id+" "+text
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.heard = append(rn.heard, he)
}

// refused reports whether a status says that a request was not run and may come again.
func refused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// judgeHeard checks what callers of competing customers and of one with a quota heard
// against what endpoints ran.
func (rn *run) judgeHeard() {
	ran := rn.deskRuns()
	for _, he := range rn.heard {
		switch {
		case he.wrong:
			rn.violate("request %s got the answer of another", he.id)
		case deniedStatus(he.status):
			rn.violate("request %s was denied, and its customer holds its key", he.id)
		case refused(he.status) && ran[he.id] > 0:
			rn.violate("request %s was refused and ran", he.id)
		case ran[he.id] > 1:
			rn.violate("request %s may run once and ran %d times", he.id, ran[he.id])
		case rn.opts.Quiet && refused(he.status) && he.retryAfter == "":
			rn.violate("request %s was refused with %d and not told when to come back", he.id, he.status)
		}
		rn.countHeard(he)
	}
	rn.judgeSmall()
}

// countHeard counts what a caller heard in the report.
func (rn *run) countHeard(he heard) {
	if rn.report.Heard == nil {
		rn.report.Heard = map[string]map[int]int{}
	}
	if rn.report.Heard[he.customer] == nil {
		rn.report.Heard[he.customer] = map[int]int{}
	}
	rn.report.Heard[he.customer][he.status]++
}

// judgeSmall checks that the customer that asks for little is served.
func (rn *run) judgeSmall() {
	served, all := 0, 0
	for _, he := range rn.heard {
		settled := he.at.After(rn.rivalsBegun.Add(learnBounds)) && !rn.nearLoss(he.at, he.at.Add(callDeadline))
		if !settled || he.customer != secondCustomer || !strings.HasPrefix(he.id, rivalPrefix) {
			continue
		}
		all++
		if he.status == http.StatusOK {
			served++
		}
	}
	rn.report.Small = [2]int{served, all}
	if rn.checksBounds() && float64(served) < leastServed*float64(all) {
		rn.violate("%d of %d requests of %s were served beside a customer that asks for ten times its part", served, all, secondCustomer)
	}
}
