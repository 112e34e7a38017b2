package fairshare

// maxKept bounds how many customers a Snapshot holds.
const maxKept = 200

// A Snapshot is what lasts of an account: how far customers are ahead of the virtual
// time. One that it does not name is not ahead.
type Snapshot struct{ Ahead map[string]float64 }

// Snapshot returns what is to last of the account.
func (ac *Account) Snapshot() Snapshot {
	me := Snapshot{Ahead: map[string]float64{}}
	customers := ac.byServed()
	for _, customer := range customers[max(0, len(customers)-maxKept):] {
		if ahead := ac.rows[customer].served - ac.virtual; ahead > 0 {
			me.Ahead[customer] = ahead
		}
	}
	return me
}

// Restore sets an account to what was kept of another one. An empty account would rank a
// customer that has had far more than its part with those that had less.
func (ac *Account) Restore(me Snapshot) {
	ac.rows, ac.virtual = map[string]*row{}, 0
	for customer, ahead := range me.Ahead {
		if ahead > 0 && len(ac.rows) < maxRows {
			ac.rows[customer] = &row{served: min(ahead, mostClaim)}
		}
	}
}
