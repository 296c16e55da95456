package admit

// indexedHeap keeps items by order and can move or remove any of them in
// O(log n). Each item holds its own place, counted from 1; 0 is absent.
type indexedHeap[T any] struct {
	items  []T
	before func(a, b T) bool
	place  func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) first() T { return h.items[0] }

// fix puts the item where it belongs, adding it when it is absent.
func (h *indexedHeap[T]) fix(item T) {
	at := h.place(item)
	if *at == 0 {
		h.items = append(h.items, item)
		*at = len(h.items)
	}
	h.sink(h.rise(*at - 1))
}

// remove takes the item out; an absent one is left alone.
func (h *indexedHeap[T]) remove(item T) {
	at := h.place(item)
	if *at == 0 {
		return
	}
	index, last := *at-1, len(h.items)-1
	h.swap(index, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	*at = 0
	if index < last {
		h.sink(h.rise(index))
	}
}

func (h *indexedHeap[T]) rise(index int) int {
	for index > 0 {
		parent := (index - 1) / 2
		if !h.before(h.items[index], h.items[parent]) {
			break
		}
		h.swap(index, parent)
		index = parent
	}
	return index
}

func (h *indexedHeap[T]) sink(index int) {
	for {
		child := 2*index + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.before(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.before(h.items[child], h.items[index]) {
			return
		}
		h.swap(index, child)
		index = child
	}
}

func (h *indexedHeap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	*h.place(h.items[a]) = a + 1
	*h.place(h.items[b]) = b + 1
}
