package lease

// Abstain sets whether Run and Step leave a free lease to other processes. An acquisition that is under way is not
// affected; Release waits for its end.
func (ho *Holder) Abstain(abstain bool) {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	ho.abstains = abstain
}

// mayClaim reports whether the process may acquire a free lease.
func (ho *Holder) mayClaim() bool {
	ho.mu.Lock()
	defer ho.mu.Unlock()
	return !ho.abstains
}
