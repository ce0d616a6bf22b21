package quarantine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hyssoproad/hyssoproad/pkg/ident"
)

func request(path string) Fingerprint {
	return RequestContent{Caller: "c", Method: "GET", Host: "h", URI: path}.Fingerprint()
}

func endAt(process int, at time.Time) End {
	return End{Target: ident.Target(fmt.Sprintf("t-%d", process)), StartMS: int64(process), AtMS: at.UnixMilli()}
}

func TestBansRequestsUnderWhichTargetsEnd(t *testing.T) {
	for _, test := range []struct {
		name   string
		ends   []End
		answer time.Duration // since start; 0 for none
		asked  time.Duration
		banned bool
	}{
		{"three targets, one right after the other", []End{endAt(1, start), endAt(2, start.Add(60*time.Millisecond)), endAt(3, start.Add(120*time.Millisecond))}, 0, time.Second, true},
		{"three targets, two of them at one moment", []End{endAt(1, start), endAt(2, start), endAt(3, start.Add(time.Second))}, 0, time.Second, true},
		{"two targets", []End{endAt(1, start), endAt(2, start.Add(time.Second))}, 0, time.Second, false},
		{"one target, seen three times", []End{endAt(1, start), endAt(1, start.Add(time.Second)), endAt(1, start.Add(2*time.Second))}, 0, time.Second, false},
		{"a failure domain at one moment", []End{endAt(1, start), endAt(2, start), endAt(3, start.Add(40*time.Millisecond)), endAt(4, start)}, 0, time.Second, false},
		{"an answer since the first", []End{endAt(1, start), endAt(2, start.Add(time.Second)), endAt(3, start.Add(2*time.Second))}, 500 * time.Millisecond, 2 * time.Second, false},
		{"an answer before", []End{endAt(1, start.Add(time.Second)), endAt(2, start.Add(2*time.Second)), endAt(3, start.Add(3*time.Second))}, 500 * time.Millisecond, 4 * time.Second, true},
		{"long ago", []End{endAt(1, start), endAt(2, start.Add(time.Second)), endAt(3, start.Add(2*time.Second))}, 0, requestTTL + time.Millisecond, false},
		{"one more end after that", []End{endAt(1, start), endAt(2, start.Add(time.Second)), endAt(3, start.Add(2*time.Second)), endAt(4, start.Add(requestTTL))}, 0, requestTTL + time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			table, f, now := NewRequests(), request("/x"), start.Add(test.asked)
			// Each end is seen by another process.
			for i, e := range test.ends {
				table.Replace(ident.VM(fmt.Sprint(i)), Evidence{Ends: []EndWithRequests{{End: e, Requests: []Fingerprint{f, request(fmt.Sprintf("/bystander-%d", i))}}}}, now)
			}
			if test.answer > 0 {
				table.Adopt(Evidence{Answers: []Answer{{Request: f, AtMS: start.Add(test.answer).UnixMilli()}}}, now)
			}
			_, until, banned := table.Banned(f, now)
			require.Equal(t, test.banned, banned)
			if banned {
				require.True(t, until.After(now))
				require.True(t, table.MayKnow(func() Head { return f.Head }))
			}
			for i := range test.ends {
				_, _, banned := table.Banned(request(fmt.Sprintf("/bystander-%d", i)), now)
				require.False(t, banned)
			}
		})
	}
}

// Several processes see ends and answers in any order and read each other's records now and
// then. Once all have read the last ones, all agree with a plain count.
func TestProcessesAgreeOnBans(t *testing.T) {
	requests := []Fingerprint{request("/a"), request("/b"), request("/c")}
	rapid.Check(t, func(t *rapid.T) {
		var tables []*Requests
		for range 3 {
			tables = append(tables, NewRequests())
		}
		share := func(from, to int, now time.Time) {
			if from != to {
				tables[to].Replace(ident.VM(fmt.Sprint(from)), tables[from].Own(), now)
			}
		}
		ends, answered := make(map[Fingerprint]map[int]time.Time), make(map[Fingerprint]time.Time)
		now := start
		for process := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Second)
			i, f := rapid.IntRange(0, 2).Draw(t, "table"), rapid.SampledFrom(requests).Draw(t, "request")
			switch rapid.SampledFrom([]string{"end", "end", "answer", "share"}).Draw(t, "step") {
			case "end":
				tables[i].Record(endAt(process, now), []Fingerprint{f})
				if ends[f] == nil {
					ends[f] = make(map[int]time.Time)
				}
				ends[f][process] = now
			case "answer":
				if tables[i].RecordAnswer(f, now) {
					answered[f] = now
				}
			case "share":
				share(i, rapid.IntRange(0, 2).Draw(t, "other"), now)
			}
		}
		for from := range tables {
			for to := range tables {
				share(from, to, now)
			}
		}
		for _, f := range requests {
			count := 0
			for _, at := range ends[f] {
				if at.After(answered[f]) {
					count++
				}
			}
			for _, table := range tables {
				_, _, banned := table.Banned(f, now)
				require.Equal(t, count >= banAfter, banned)
				require.Equal(t, count > 0, table.Suspected(f, now))
				require.True(t, count == 0 || table.MayKnow(func() Head { return f.Head }))
			}
		}
	})
}

func TestFingerprintsTellContentsApart(t *testing.T) {
	contents := []RequestContent{
		{"c", "GET", "h", "/x", nil}, {"d", "GET", "h", "/x", nil}, {"c", "POST", "h", "/x", nil}, {"c", "GET", "i", "/x", nil},
		{"c", "GET", "h", "/x?q=1", nil}, {"c", "GET", "h", "/x", []byte("a")}, {"c", "GET", "h", "/x", []byte("b")}, {"cG", "ET", "h", "/x", nil}, {"c", "GET", "h/", "x", nil},
	}
	seen := make(map[Fingerprint]bool)
	for _, c := range contents {
		f := c.Fingerprint()
		require.False(t, seen[f], "%+v", c)
		seen[f] = true
		require.Equal(t, c.Head(), f.Head)
		text, err := json.Marshal(f)
		require.NoError(t, err)
		var read Fingerprint
		require.NoError(t, json.Unmarshal(text, &read))
		require.Equal(t, f, read)
	}
	for _, text := range []string{"", "x", request("/x").String() + "0", "g" + request("/x").String()[1:], request("/x").String()[:48] + "g", "0000000000000000+" + request("/x").String()[17:]} {
		require.Error(t, new(Fingerprint).UnmarshalText([]byte(text)), text)
	}
}

// However many requests are lost, what a process tells and keeps stays small, and the newest
// are kept. Times of clocks that are ahead don't make evidence last longer.
func TestEvidenceIsBounded(t *testing.T) {
	table := NewRequests()
	for i := range 3 * maxRequests {
		table.Record(endAt(i/3, start.Add(time.Duration(i)*time.Second)), []Fingerprint{request(fmt.Sprint(i))})
	}
	now := start.Add(3 * maxRequests * time.Second)
	count := 0
	for _, e := range table.Own().Ends {
		count += len(e.Requests)
	}
	require.Equal(t, maxRequests, count)
	require.True(t, table.Suspected(request(fmt.Sprint(3*maxRequests-1)), now))
	var large Evidence
	for i := range 10 * maxRequests {
		large.Ends = append(large.Ends, EndWithRequests{End: endAt(i, now.Add(365*24*time.Hour)), Requests: []Fingerprint{request(fmt.Sprint("l-", i))}})
	}
	table.Replace("vm", large, now)
	require.LessOrEqual(t, len(table.others["vm"].Ends), maxRequests)
	last := large.Ends[len(large.Ends)-1].Requests[0]
	require.True(t, table.Suspected(last, now))
	require.False(t, table.Suspected(last, now.Add(requestTTL+time.Second)))
	require.True(t, large.Expired(now.Add(2*365*24*time.Hour)))
	table.Drop()
	table.Replace("vm", Evidence{}, now)
	require.False(t, table.MayKnow(func() Head { panic("nothing is hashed without evidence") }))
	require.False(t, slices.Contains(table.Sources(), "vm"))
}

func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{1 << 10, 10 << 20} {
		content := RequestContent{Caller: "c", Method: "POST", Host: "h", URI: "/x", Body: bytes.Repeat([]byte("b"), size)}
		b.Run(fmt.Sprintf("%d KiB", size>>10), func(b *testing.B) {
			for b.Loop() {
				content.Fingerprint()
			}
		})
	}
	content, table := RequestContent{Caller: "c", Method: "POST", Host: "h", URI: "/x"}, NewRequests()
	b.Run("look-up without evidence", func(b *testing.B) {
		for b.Loop() {
			table.MayKnow(content.Head)
		}
	})
	for i := range maxRequests {
		table.Record(endAt(i, start), []Fingerprint{request(fmt.Sprint(i))})
	}
	b.Run("look-up beside evidence against 256 others", func(b *testing.B) {
		for b.Loop() {
			table.MayKnow(content.Head)
		}
	})
}
