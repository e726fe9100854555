package limit

// TakeAbove is like Take, but admits the event only while at least the given fraction of
// what Ratio admits at once is left, so that less important events leave the rest to others.
func (r *Ratio) TakeAbove(fraction float64) bool {
	for {
		level := r.level.Load()
		if level < ratioUnit || float64(level) < fraction*float64(r.capacity.Load()) {
			return false
		}
		if r.level.CompareAndSwap(level, level-ratioUnit) {
			return true
		}
	}
}

// Return gives back an extra event that was admitted and did not take place.
func (r *Ratio) Return() {
	for {
		level := r.level.Load()
		next := max(level, min(level+ratioUnit, r.capacity.Load()))
		if next == level || r.level.CompareAndSwap(level, next) {
			return
		}
	}
}
