package target

import (
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"github.com/hyssoproad/hyssoproad/pkg/httphead"
)

const maxServiceAnswerBytes = 1 << 20

// ServiceCall is a call to a plain service.
type ServiceCall struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         string // idempotency key, if the caller gave one
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service is the client of one plain service instance. Tests replace its functions.
type Service struct {
	// Call makes the call once. After an error, the call may have run.
	Call func(in ServiceCall, deadline time.Time) (ServiceAnswer, error)
}

// NewService returns a client of the service at the base URL.
func NewService(base string) *Service {
	c := &serviceClient{base: base, http: &fasthttp.Client{
		ConfigureClient:     httphead.Configure,
		MaxConnsPerHost:     maxEngineConns,
		MaxResponseBodySize: maxServiceAnswerBytes,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	return &Service{Call: c.call}
}

type serviceClient struct {
	base string
	http *fasthttp.Client
}

func (s *serviceClient) call(in ServiceCall, deadline time.Time) (ServiceAnswer, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(s.base + in.Path)
	req.Header.SetMethod(in.Method)
	if in.ContentType != "" {
		req.Header.SetContentType(in.ContentType)
	}
	if in.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, in.Key)
	}
	req.SetBody(in.Body)
	if err := s.http.DoDeadline(req, res, deadline); err != nil {
		return ServiceAnswer{}, errors.Annotatef(err, "%s %s", in.Method, in.Path)
	}
	return ServiceAnswer{
		Status:      res.StatusCode(),
		ContentType: string(res.Header.ContentType()),
		Body:        append([]byte(nil), res.Body()...),
	}, nil
}

// Probe returns nil if the service answers.
func (s *Service) Probe() error {
	_, err := s.Call(ServiceCall{Method: "GET", Path: "/healthz"}, time.Now().Add(queryTimeout))
	return errors.Trace(err)
}
