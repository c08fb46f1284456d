package quarantine

// recent maps keys to values and keeps at least the capacity most recently set keys,
// and at most twice as many.
type recent[K comparable, V any] struct {
	capacity          int
	current, previous map[K]V
}

func newRecent[K comparable, V any](capacity int) *recent[K, V] {
	return &recent[K, V]{capacity: capacity, current: make(map[K]V)}
}

func (r *recent[K, V]) get(k K) (V, bool) {
	if v, ok := r.current[k]; ok {
		return v, true
	}
	v, ok := r.previous[k]
	return v, ok
}

func (r *recent[K, V]) set(k K, v V) {
	if _, ok := r.current[k]; !ok && len(r.current) >= r.capacity {
		r.previous, r.current = r.current, make(map[K]V)
	}
	r.current[k] = v
}
