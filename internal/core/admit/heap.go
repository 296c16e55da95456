package admit

// indexedHeap is a binary heap that can move or remove any item in O(log n). Each item stores its own
// position, counted from 1; 0 means absent.
type indexedHeap[T any] struct {
	items    []T
	before   func(a, b T) bool
	position func(T) *int
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) first() T { return h.items[0] }

// fix moves the item to its place after a change of its order, or adds it if absent.
func (h *indexedHeap[T]) fix(item T) {
	position := h.position(item)
	if *position == 0 {
		h.items = append(h.items, item)
		*position = len(h.items)
	}
	h.siftDown(h.siftUp(*position - 1))
}

// remove removes the item if it is present.
func (h *indexedHeap[T]) remove(item T) {
	position := h.position(item)
	if *position == 0 {
		return
	}
	index, last := *position-1, len(h.items)-1
	h.swap(index, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*position = 0
	if index < last {
		h.siftDown(h.siftUp(index))
	}
}

func (h *indexedHeap[T]) siftUp(index int) int {
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

func (h *indexedHeap[T]) siftDown(index int) {
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
	*h.position(h.items[a]) = a + 1
	*h.position(h.items[b]) = b + 1
}
