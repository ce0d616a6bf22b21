package gateway

import "flag"

// Options are the gateway's command-line flags.
type Options struct {
	PrefixAffinity PrefixAffinity
}

// NewOptions returns the options of a gateway that is started without flags.
func NewOptions() *Options { return &Options{PrefixAffinity: AffinityAuto} }

// Register adds the flags to a set.
func (o *Options) Register(flags *flag.FlagSet) {
	flags.Func("prefix-affinity", "place requests for engines by their cost: auto (where engines state a pace), on or off (default auto)", func(s string) error {
		a, err := parsePrefixAffinity(s)
		if err == nil {
			o.PrefixAffinity = a
		}
		return err
	})
}
