package bench

import (
	"context"
	"fmt"
	"net"

	"github.com/fasthttp/router"
	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/settings"
	"github.com/hyssoproad/hyssoproad/pkg/standin"
	"github.com/hyssoproad/hyssoproad/pkg/wire"
)

const standInConcurrency = 16384

func (t *tool) standIns() *ffcli.Command {
	fs := t.flags("stand-ins")
	file := fs.String("settings", "build/local/stand-ins.hujson", "settings file")
	return &ffcli.Command{
		Name: "stand-ins", ShortHelp: "serve stand-ins of the platform, the weight store, engines and services", FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			var s StandInSettings
			if err := settings.Load(*file, &s); err != nil {
				return errors.Trace(err)
			}
			if err := serveStandIns(s); err != nil {
				return errors.Trace(err)
			}
			fmt.Fprintf(t.err, "serving stand-ins of the platform on %s and of %d targets\n", s.Platform, len(s.Targets))
			<-ctx.Done()
			return nil
		},
	}
}

func serveStandIns(s StandInSettings) error {
	store := standin.NewWeightStore(s.WeightStore.LoadsPerSecond, s.WeightStore.LoadTime.Std(), s.WeightStore.FullSpeed)
	r := router.New()
	standin.NewObjects(s.Seed).Register(r)
	standin.NewVMs(s.VMs, s.VMLag.Std()).Register(r)
	store.Register(r)
	proxies, err := openProxies(s.Proxies)
	if err != nil {
		return errors.Trace(err)
	}
	proxies.Register(r)
	if err := serve(s.Platform, r); err != nil {
		return errors.Trace(err)
	}
	for i, target := range s.Targets {
		r := router.New()
		if target.Kind == wire.KindService {
			standin.NewPlainService(string(target.Name)).Register(r)
		} else {
			standin.NewEngine(standin.EngineSettings{
				Name: string(target.Name), Slots: target.Slots, MaxRunning: target.MaxRunning,
				IgnoreFencing: target.IgnoresFencing, TokenTime: s.TokenTime.Std(),
				Fetch: func(string) bool { return store.Load() },
			}, s.Seed+uint64(i)).Register(r)
		}
		if err := serve(target.URL[len("http://"):], r); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func openProxies(list []ProxySettings) (standin.Proxies, error) {
	out := make(standin.Proxies, len(list))
	for _, s := range list {
		p, err := standin.NewProxy(s.Listen, s.To)
		if err != nil {
			return nil, errors.Trace(err)
		}
		out[s.Name] = p
	}
	return out, nil
}

func serve(address string, r *router.Router) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	server := &fasthttp.Server{Handler: r.Handler, Concurrency: standInConcurrency, MaxRequestBodySize: 8 << 20}
	go func() { _ = server.Serve(listener) }()
	return nil
}
