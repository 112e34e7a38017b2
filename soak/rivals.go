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

// Customers that compete for endpoints with few slots: crowdCustomer sends ten times its
// share of requests, secondCustomer a quarter of its own.
const (
	rivalService     = "counter"
	rivalRoute       = "rival"
	rivalPrefix      = "rival-" // of the ids of requests; the customer's name follows
	rivalEndpoints   = 2
	rivalSlots       = 4 // of each
	rivalWork        = 200 * time.Millisecond
	rivalLatencyGoal = 6 * rivalWork
	// rivalShare is each customer's share of the capacity, in requests a second.
	rivalShare = rivalEndpoints * rivalSlots * int(time.Second/rivalWork) / 2
	// maxOpen is how many requests a customer has open at most.
	maxOpen = 60
	// learnLimits is how long entries may take to learn the customers' limits: endpoints
	// reject requests, entries report demand, and the allocator waits for all reports.
	learnLimits = 3 * time.Second
	// minServedRatio is the part of the small customer's requests that must succeed in a quiet run.
	minServedRatio = 0.9
)

// A response is the result of a request that may be refused.
type response struct {
	at         time.Time
	customer   string
	id         string
	retryAfter string
	status     int // 0: no response
	mismatched bool
}

// buildRivals registers the endpoints with few slots, if the run has this part.
func (wo *world) buildRivals(ctx context.Context) error {
	for i := range rivalEndpoints {
		if !wo.parts.has(rivalsPart) {
			return nil
		}
		pe := &standin.PlainEndpoint{ID: fmt.Sprint("counter-", i), Places: rivalSlots, Work: rivalWork}
		wo.plainEndpoints = append(wo.plainEndpoints, pe)
		if err := wo.register(ctx, pe.ID, rivalService, wo.ip(5, i), pe, pe.StartedAt, nil); err != nil {
			return err
		}
	}
	return nil
}

// runRivals sends requests of two customers for a duration.
func (rn *run) runRivals(ctx context.Context, length time.Duration) {
	if !rn.parts.has(rivalsPart) {
		return
	}
	rn.recordEvent("customers compete")
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	rn.rivalsBegun = time.Now()
	var both sync.WaitGroup
	both.Go(func() { rn.sendSteadily(ctx, crowdCustomer, time.Second/time.Duration(10*rivalShare)) })
	both.Go(func() { rn.sendSteadily(ctx, secondCustomer, 4*time.Second/time.Duration(rivalShare)) })
	both.Wait()
}

// sendSteadily sends a customer's requests at a constant rate, without waiting for responses.
func (rn *run) sendSteadily(ctx context.Context, customer string, every time.Duration) {
	cl := &http.Client{Timeout: callTime, Transport: &http.Transport{MaxIdleConnsPerHost: maxOpen}}
	defer cl.CloseIdleConnections()
	var open sync.WaitGroup
	places := make(chan struct{}, maxOpen)
	for number := 0; ctx.Err() == nil; number++ {
		select {
		case places <- struct{}{}:
			open.Go(func() {
				defer func() { <-places }()
				id := fmt.Sprintf("%s%s-%d", rivalPrefix, customer, number)
				rn.sendAtMostOnce(context.WithoutCancel(ctx), cl, number, customer, "/"+rivalRoute+"/"+id, id)
			})
		default: // maxOpen requests are open
		}
		sleep(ctx, every)
	}
	open.Wait()
}

// sendAtMostOnce sends a request that may run at most once, and records the response.
func (rn *run) sendAtMostOnce(ctx context.Context, cl *http.Client, entry int, customer, path, id string) {
	text := "body of " + id
	// net/http can't rewind a reader of this type, so it doesn't retry the request.
	body := struct{ *strings.Reader }{strings.NewReader(text)}
	re := response{at: time.Now(), customer: customer, id: id}
	an, err := rn.clientOf(cl, entry, customer).Ask(ctx, path, id, body, callDeadline)
	if err == nil {
		re.status, re.retryAfter = an.Status, an.RetryAfter
		re.mismatched = an.Status == http.StatusOK && string(an.Body) != id+" "+text
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.responses = append(rn.responses, re)
}

// refused reports whether a status means that a request did not run and may be retried.
func refused(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// checkResponses compares the responses to competing customers and to the one with a quota
// with the runs at endpoints.
func (rn *run) checkResponses() {
	ran := rn.plainRunCounts()
	for _, re := range rn.responses {
		switch {
		case re.mismatched:
			rn.addViolation("request %s got the answer of another", re.id)
		case deniedStatus(re.status):
			rn.addViolation("request %s was denied, and its customer holds its key", re.id)
		case refused(re.status) && ran[re.id] > 0:
			rn.addViolation("request %s was refused and ran", re.id)
		case ran[re.id] > 1:
			rn.addViolation("request %s may run once and ran %d times", re.id, ran[re.id])
		case rn.opts.Quiet && refused(re.status) && re.retryAfter == "":
			rn.addViolation("request %s was refused with %d and not told when to come back", re.id, re.status)
		}
		rn.countResponse(re)
	}
	rn.checkSmallCustomer()
}

// countResponse counts a response in the report.
func (rn *run) countResponse(re response) {
	if rn.report.Heard == nil {
		rn.report.Heard = map[string]map[int]int{}
	}
	if rn.report.Heard[re.customer] == nil {
		rn.report.Heard[re.customer] = map[int]int{}
	}
	rn.report.Heard[re.customer][re.status]++
}

// checkSmallCustomer checks that the customer within its share is served.
func (rn *run) checkSmallCustomer() {
	served, all := 0, 0
	for _, re := range rn.responses {
		settled := re.at.After(rn.rivalsBegun.Add(learnLimits)) && !rn.nearLoss(re.at, re.at.Add(callDeadline))
		if !settled || re.customer != secondCustomer || !strings.HasPrefix(re.id, rivalPrefix) {
			continue
		}
		all++
		if re.status == http.StatusOK {
			served++
		}
	}
	rn.report.Small = [2]int{served, all}
	if rn.checksBounds() && float64(served) < minServedRatio*float64(all) {
		rn.addViolation("%d of %d requests of %s were served beside a customer that asks for ten times its part", served, all, secondCustomer)
	}
}
