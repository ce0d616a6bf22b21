package ledger

import (
	"testing"

	"github.com/hyssoproad/hyssoproad/pkg/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }
