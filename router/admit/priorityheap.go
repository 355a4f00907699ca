package admit

// priorityHeap is a heap of waiting requests in the order in which they are served.
// It implements heap.Interface.
type priorityHeap []*priorityItem

func (h priorityHeap) Len() int { return len(h) }

func (h priorityHeap) Less(i, j int) bool { return h[i].before(h[j]) }

// last returns the item that is served after all others.
func (h priorityHeap) last() *priorityItem {
	last := h[0]
	for _, it := range h {
		if last.before(it) {
			last = it
		}
	}
	return last
}

func (h priorityHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *priorityHeap) Push(x any) {
	it := x.(*priorityItem)
	it.index = len(*h)
	*h = append(*h, it)
}

func (h *priorityHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	it.index = -1
	return it
}
