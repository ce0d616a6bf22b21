package forecast

import "sync"

// byRoute holds a value for each route. It is safe for concurrent use, and its zero value
// is empty.
type byRoute[T any] struct {
	mu     sync.Mutex
	values map[string]*T
}

// update changes the value of a route.
func (b *byRoute[T]) update(route string, change func(*T)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.values[route]
	if v == nil {
		if b.values == nil {
			b.values = make(map[string]*T)
		}
		v = new(T)
		b.values[route] = v
	}
	change(v)
}

// get returns a copy of the value of a route.
func (b *byRoute[T]) get(route string) (v T) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.values[route]; p != nil {
		v = *p
	}
	return v
}

// Retain forgets the routes that are not kept.
func (b *byRoute[T]) Retain(keep func(route string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for route := range b.values {
		if !keep(route) {
			delete(b.values, route)
		}
	}
}
