// Package kernel starts, checks and stops a program's plug-ins. A plug-in
// package registers itself; a program picks its plug-ins by import.
package kernel

import (
	"context"
	"sort"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/dig"
)

// Plugin is one part of a program.
type Plugin struct {
	Name string
	// Provide lists the constructors that the plug-in adds.
	Provide []any
	// Start is a function of whatever types it needs; building them adds
	// their hooks.
	Start any
}

var (
	registryMu sync.Mutex
	registry   []Plugin
)

// Register adds a plug-in to the program. Packages call it from init.
func Register(p Plugin) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registry = append(registry, p)
}

// Hook is one step of a program's life.
type Hook struct {
	Name string
	// Start must return once the part works.
	Start func(ctx context.Context) error
	// Stop must return once the part has finished its work.
	Stop func(ctx context.Context) error
	// Ready returns nil while the part can serve.
	Ready func() error
}

// Lifecycle collects hooks in the order of their dependencies.
type Lifecycle struct {
	mu       sync.Mutex
	hooks    []Hook
	started  bool
	stopping bool
}

// Append adds a hook. Constructors call it, so that a part's hooks come after
// those of the parts that it needs.
func (l *Lifecycle) Append(h Hook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hooks = append(l.hooks, h)
}

// Ready returns why the program cannot serve, or nil.
func (l *Lifecycle) Ready() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started || l.stopping {
		return errors.New("starting or stopping")
	}
	for _, h := range l.hooks {
		if h.Ready == nil {
			continue
		}
		if err := h.Ready(); err != nil {
			return errors.Annotate(err, h.Name)
		}
	}
	return nil
}

// Start runs the start hooks in order. If one fails it stops those before it.
func (l *Lifecycle) Start(ctx context.Context) error {
	for i, h := range l.hooks {
		if h.Start == nil {
			continue
		}
		if err := h.Start(ctx); err != nil {
			_ = l.stop(context.Background(), i)
			return errors.Annotatef(err, "starting %s", h.Name)
		}
	}
	l.mu.Lock()
	l.started = true
	l.mu.Unlock()
	return nil
}

// Stop runs the stop hooks in the reverse order and returns the first error.
func (l *Lifecycle) Stop(ctx context.Context) error { return l.stop(ctx, len(l.hooks)) }

func (l *Lifecycle) stop(ctx context.Context, n int) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	var first error
	for i := n - 1; i >= 0; i-- {
		h := l.hooks[i]
		if h.Stop == nil {
			continue
		}
		if err := h.Stop(ctx); err != nil && first == nil {
			first = errors.Annotatef(err, "stopping %s", h.Name)
		}
	}
	return first
}

// Run builds the registered plug-ins, starts them in dependency order and,
// when ctx ends, stops them in the reverse order. provide lists the program's
// own constructors, such as its settings.
func Run(ctx context.Context, provide ...any) error {
	container := dig.New()
	life := &Lifecycle{}
	all := append([]any{func() *Lifecycle { return life }}, provide...)
	plugins := plugins()
	for _, p := range plugins {
		all = append(all, p.Provide...)
	}
	for _, constructor := range all {
		if err := container.Provide(constructor); err != nil {
			return errors.Trace(err)
		}
	}
	for _, p := range plugins {
		if err := container.Invoke(p.Start); err != nil {
			return errors.Annotatef(dig.RootCause(err), "plug-in %s", p.Name)
		}
	}
	if err := life.Start(ctx); err != nil {
		return errors.Trace(err)
	}
	<-ctx.Done()
	return life.Stop(context.WithoutCancel(ctx))
}

func plugins() []Plugin {
	registryMu.Lock()
	defer registryMu.Unlock()
	out := append([]Plugin(nil), registry...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
