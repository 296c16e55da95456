package core

// Mix64 spreads the bits of a number, so that the products of related numbers
// are unrelated (the finaliser of splitmix64).
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
