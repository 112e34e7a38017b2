package step

import "math"

// A modelClaim is a model's claim to engines with its weights.
type modelClaim struct {
	engines float64 // minimum
	rank    int     // of the model's customer
}

// modelClaims returns the claims of models, or nil unless several customers have open steps and
// slots are scarce.
//
// If engines were divided by work alone, few would load the weights of a small customer, and only
// after those of others. So each model may claim the engines that all items of one of its steps need, within its
// customer's share, and models load in the order of their customers' ranks.
func (ta *Table) modelClaims(ens []*engineRow) map[string]modelClaim {
	items, customers := map[string]int{}, map[string]string{}
	models := map[string]int{} // by customer
	for _, sr := range ta.openSteps {
		st := sr.step
		if items[st.Model] == 0 {
			models[st.Customer]++
		}
		items[st.Model], customers[st.Model] = max(items[st.Model], len(st.Items)), st.Customer
	}
	if len(models) < 2 || ta.ignoreShares || !ta.usage.scarce[ens[0].service] {
		return nil
	}
	slots, total := 0, 0.0
	for _, en := range ens {
		slots += en.slots
	}
	for customer := range models {
		total += ta.usage.account.Weight(customer)
	}
	claims := map[string]modelClaim{}
	for model, customer := range customers {
		due := float64(len(ens)) * ta.usage.account.Weight(customer) / total / float64(models[customer])
		need := math.Ceil(float64(items[model]) * float64(len(ens)) / float64(max(slots, 1)))
		claims[model] = modelClaim{engines: min(need, due), rank: ta.usage.account.Rank(customer)}
	}
	return claims
}
