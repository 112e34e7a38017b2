package rollout

// Share returns the part of the weight store's limit for the service at index, given the numbers of
// engines of all services. The shares add up to the limit by the largest remainder method, so that
// owners need no coordination.
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
