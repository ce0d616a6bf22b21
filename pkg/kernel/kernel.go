// Package kernel starts, checks and stops a program's plugins. A plugin package
// registers itself from init; a program selects its plugins by importing them.
package kernel

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/juju/errors"
	"go.uber.org/dig"
)

// Plugin is one component of a program.
type Plugin struct {
	Name string
	// Provide lists the constructors that the plugin adds to the dependency
	// injection container.
	Provide []any
	// Start is a function whose parameters the container builds. Their
	// constructors append the lifecycle hooks.
	Start any
}

var (
	registryMu sync.Mutex
	registry   []Plugin
)

// Register adds a plugin to the program. Plugin packages call it from init.
func Register(p Plugin) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registry = append(registry, p)
}

// Hook holds the lifecycle functions of one component. Unset functions are
// skipped.
type Hook struct {
	Name string
	// Start starts the component and returns once it works.
	Start func(ctx context.Context) error
	// Stop stops the component and returns once it has finished its work.
	Stop func(ctx context.Context) error
	// Ready returns an error while the component cannot serve.
	Ready func() error
	// Faces says that the component takes requests from outside the system. Such
	// components stop first and together, so that none delays the stop of another.
	Faces bool
	// Observes says that the component only shows how the process is doing. It starts
	// before the others and stops after them, so that a slow reader delays none.
	Observes bool
}

// Lifecycle runs the hooks of a program's components in dependency order.
type Lifecycle struct {
	mu       sync.Mutex
	hooks    []Hook
	started  bool
	stopping bool
}

// Append adds a hook. Constructors call it, so that a component's hooks follow
// those of its dependencies.
func (l *Lifecycle) Append(h Hook) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.hooks)
	if h.Observes {
		at = slices.IndexFunc(l.hooks, func(other Hook) bool { return !other.Observes })
		at = max(at, 0)
	}
	l.hooks = slices.Insert(l.hooks, at, h)
}

// Ready returns an error that says why the program cannot serve, or nil.
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

// Start runs the start hooks in order. If one fails, it runs the stop hooks of
// those before it.
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

// Stop runs all stop hooks, those of faces first and together, and the others in reverse
// order. It returns the first error.
func (l *Lifecycle) Stop(ctx context.Context) error { return l.stop(ctx, len(l.hooks)) }

func (l *Lifecycle) stop(ctx context.Context, n int) error {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	var faces, others []Hook
	for _, h := range slices.Backward(l.hooks[:n]) {
		switch {
		case h.Stop == nil:
		case h.Faces:
			faces = append(faces, h)
		default:
			others = append(others, h)
		}
	}
	errs := make([]error, len(faces))
	var group sync.WaitGroup
	for i, h := range faces {
		group.Go(func() { errs[i] = h.stop(ctx) })
	}
	group.Wait()
	for _, h := range others {
		errs = append(errs, h.stop(ctx))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h Hook) stop(ctx context.Context) error {
	return errors.Annotatef(h.Stop(ctx), "stopping %s", h.Name)
}

// Run builds the registered plugins and starts them in dependency order. When
// ctx ends, it stops them in reverse order. provide lists the program's own
// constructors, such as those of its settings.
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
			return errors.Annotatef(dig.RootCause(err), "plugin %s", p.Name)
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
