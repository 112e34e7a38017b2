package step

import (
	"net"
	"strconv"
	"time"

	"wisteriacroft/directory"
)

// refresh updates the table from the directory.
func (sc *Scheduler) refresh(te *term, now time.Time) {
	co := sc.Directory.Configuration()
	if co == nil {
		return
	}
	if ens := sc.Directory.Endpoints(""); co != te.configuration || !directory.SameList(ens, te.endpoints) {
		te.configuration, te.endpoints = co, ens
		sc.refreshEngines(te, now)
		te.table.SetWeights(co.Weights())
	}
	te.table.SetHolds(sc.Directory.Holds(), now)
	for model, version := range sc.Directory.Versions() {
		te.table.SetVersion(model, version)
	}
}

// refreshEngines sets the table's engines from the term's endpoints, and starts the exchange
// loops of new ones.
func (sc *Scheduler) refreshEngines(te *term, now time.Time) {
	var infos []EngineInfo
	for _, en := range te.endpoints {
		se, ok := te.configuration.Service(en.Service)
		if !ok || len(en.Models) == 0 {
			continue
		}
		infos = append(infos, sc.engineInfo(en, se))
	}
	te.table.SetEngines(infos, now)
	for _, in := range infos {
		if _, ok := te.exchangeKicks[in.ID]; !ok {
			te.exchangeKicks[in.ID] = make(chan struct{}, 1)
			go sc.exchangeLoop(te, in.ID, te.exchangeKicks[in.ID])
		}
	}
}

// attendantAddress returns the address of an engine's attendant.
func (sc *Scheduler) attendantAddress(en directory.Endpoint) string {
	host, _, err := net.SplitHostPort(en.Address)
	if err != nil {
		host = en.Address
	}
	return net.JoinHostPort(host, strconv.Itoa(sc.PeerPort))
}

func (sc *Scheduler) engineInfo(en directory.Endpoint, se directory.Service) EngineInfo {
	in := EngineInfo{
		Address: sc.attendantAddress(en), Endpoint: en.Address, ID: en.ID, Incarnation: en.Incarnation, Leaving: en.Leaving,
		Service: en.Service, Slots: en.Slots, Tokens: se.Tokens, Versions: map[string]uint64{},
	}
	if in.Slots == 0 {
		in.Slots = se.Slots
	}
	for _, mo := range en.Models {
		in.Versions[mo.Model] = mo.Version
	}
	return in
}
