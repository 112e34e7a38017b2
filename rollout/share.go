package rollout

// Share returns which part of the weight store's limit is for the service at
// index, given the numbers of engines of all services. Each owner works out
// the same shares, so that their sum keeps to the limit without any exchange:
// largest remainders first.
func Share(limit int, engines []int, index int) int {
	sum := 0
	for _, n := range engines {
		sum += n
	}
	if sum == 0 {
		return 0
	}
	left := limit
	rank := 0
	remainder := limit * engines[index] % sum
	for i, n := range engines {
		left -= limit * n / sum
		other := limit * n % sum
		if other > remainder || other == remainder && i < index {
			rank++
		}
	}
	share := limit * engines[index] / sum
	if rank < left {
		share++
	}
	return share
}
