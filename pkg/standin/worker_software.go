package standin

import "github.com/hyssoproad/hyssoproad/pkg/ident"

// SetSoftware sets the version of its software that the worker states from its next start on.
func (w *Worker) SetSoftware(v ident.Software) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.software = v
}

// Software returns the version of its software that the worker states.
func (w *Worker) Software() ident.Software {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.software
}
