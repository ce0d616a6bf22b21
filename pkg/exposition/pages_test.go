package exposition

import (
	"context"
	"net/url"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/kernel"
)

// TestPagesAreServedAsJSON guards against a mistaken question that is answered as another
// one, and against errors that look like answers.
func TestPagesAreServedAsJSON(t *testing.T) {
	m := New(&kernel.Lifecycle{})
	m.AddPage("/page", func(_ context.Context, v url.Values) (any, error) {
		switch v.Get("a") {
		case "1":
			return map[string]int{"a": 1}, nil
		case "":
			return nil, errors.NewNotValid(nil, "a is missing")
		}
		return nil, errors.New("out of order")
	})
	for _, test := range []struct {
		uri    string
		status int
		body   string
	}{
		{"/page?a=1", fasthttp.StatusOK, `{"a":1}`},
		{"/page", fasthttp.StatusBadRequest, `{"error":"a is missing"}`},
		{"/page?a=%zz", fasthttp.StatusBadRequest, ""},
		{"/page?a=2", fasthttp.StatusInternalServerError, `{"error":"out of order"}`},
		{"/other", fasthttp.StatusNotFound, ""},
	} {
		var ctx fasthttp.RequestCtx
		ctx.Request.SetRequestURI(test.uri)
		m.ServePage(&ctx)
		require.Equal(t, test.status, ctx.Response.StatusCode(), test.uri)
		if test.body != "" {
			require.JSONEq(t, test.body, string(ctx.Response.Body()), test.uri)
		}
	}
}
