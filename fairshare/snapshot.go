package fairshare

// maxSnapshotCustomers limits the number of customers in a Snapshot.
const maxSnapshotCustomers = 200

// A Snapshot is the persistent state of an account: customers' leads over the virtual time. A
// missing customer isn't ahead.
type Snapshot struct{ Ahead map[string]float64 }

// Snapshot returns the state of the account to persist.
func (ac *Account) Snapshot() Snapshot {
	sn := Snapshot{Ahead: map[string]float64{}}
	customers := ac.byServed()
	for _, customer := range customers[max(0, len(customers)-maxSnapshotCustomers):] {
		if ahead := ac.rows[customer].served - ac.virtual; ahead > 0 {
			sn.Ahead[customer] = ahead
		}
	}
	return sn
}

// Restore restores an account from persistent state.
func (ac *Account) Restore(sn Snapshot) {
	ac.rows, ac.virtual = map[string]*row{}, 0
	for customer, ahead := range sn.Ahead {
		if ahead > 0 && len(ac.rows) < maxCustomers {
			ac.rows[customer] = &row{served: min(ahead, maxLag)}
		}
	}
}
