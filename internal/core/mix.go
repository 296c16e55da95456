package core

// Mix64 is the finaliser of splitmix64. It distributes the bits of a number, so that the results
// for related numbers are unrelated.
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
