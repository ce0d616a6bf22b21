package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hyssoproad/hyssoproad/pkg/common"
	"github.com/hyssoproad/hyssoproad/pkg/fleet"
	"github.com/hyssoproad/hyssoproad/pkg/ident"
	"github.com/hyssoproad/hyssoproad/platform"
)

// All gateways learn of a configuration at the same time: the messages to holders grow
// with the holders, not with the gateways too, and each holder is told by several.
func TestFewGatewaysAnnounceQuotasToEachHolder(t *testing.T) {
	const engines = 225
	for _, test := range []struct {
		gateways, known, most, least int
	}{
		{gateways: 30, known: 30, most: 30 * engines, least: 30},
		{gateways: 300, known: 300, most: 36 * engines, least: 8},
		{gateways: 40, known: 0, most: 40 * engines, least: 40},
	} {
		t.Run(fmt.Sprintf("%d gateways, %d known", test.gateways, test.known), func(t *testing.T) {
			c := *testConfiguration(2)
			s := c.Services[streamService]
			s.Engine = &platform.EngineSpec{Slots: 8, KVTokens: 1, MB: 1, AdapterSlots: 1, TokensPerEvent: 1}
			c.Services[streamService] = s
			for i := range 160 {
				c.Accounts = append(c.Accounts, platform.Account{Name: ident.Account(fmt.Sprint("a-", i)), Keys: []string{fmt.Sprint("k-", i)}, PerSecond: 100, Burst: 100})
			}
			var targets []fleet.Target
			for e := range engines {
				targets = append(targets, fleet.Target{Instance: ident.Target(fmt.Sprint("e-", e)), Service: streamService, Address: fmt.Sprintf("10.0.%d.1:1", e)})
			}
			messages, told := 0, make(map[string]int)
			for i := range test.gateways {
				g := New(common.Discard(), platform.Node{VM: ident.VM(fmt.Sprint("gateway-", i)), Bounds: platform.Bounds{QuotaWindow: 8 * time.Second}})
				if test.known > 0 {
					g.entryCount.Record(test.known, time.Now())
				}
				g.directory.Update(&c)
				g.fleet.Replace(targets, time.Now())
				g.quotas.refresh()
				for holder := range g.quotas.announcements {
					told[holder]++
					messages++
				}
			}
			least := test.gateways
			for _, n := range told {
				least = min(least, n)
			}
			t.Logf("%d messages to %d holders, at least %d to each", messages, len(told), least)
			require.Greater(t, len(told), engines/2)
			require.LessOrEqual(t, messages, test.most)
			require.GreaterOrEqual(t, least, test.least)
		})
	}
}
