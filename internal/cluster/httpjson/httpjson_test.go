package httpjson_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"ospreypond/internal/cluster/failure"
	"ospreypond/internal/cluster/httpjson"
)

func TestHTTPJSON(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "JSON over HTTP")
}

// limit is the limit for bodies in these tests, in bytes.
const limit = 10

var _ = DescribeTable("ReadBody reads a body up to its limit",
	func(body io.Reader, announced int64, kind failure.Kind, connection string) {
		r := httptest.NewRequestWithContext(GinkgoT().Context(), http.MethodPost, "/", body)
		r.ContentLength = announced
		w := httptest.NewRecorder()
		got, err := httpjson.ReadBody(w, r, limit)
		Expect(failure.KindOf(err)).To(Equal(kind))
		Expect(w.Header().Get("Connection")).To(Equal(connection))
		if err == nil {
			Expect(string(got)).To(Equal("0123456789"))
		}
	},
	Entry("a body of announced length", strings.NewReader("0123456789"), int64(10), failure.None, ""),
	Entry("a body of unknown length", strings.NewReader("0123456789"), int64(-1), failure.None, ""),
	Entry("a body that is announced as too large", strings.NewReader("0123456789a"), int64(11), failure.TooLarge, "close"),
	Entry("a body of unknown length that is too large", strings.NewReader("0123456789a"), int64(-1), failure.TooLarge, ""),
	Entry("a body that ends before its announced length", io.MultiReader(strings.NewReader("012"), iotest.ErrReader(io.ErrUnexpectedEOF)), int64(10),
		failure.Unavailable, ""),
)

var _ = DescribeTable("WriteError sends the status, the name and the message of an error",
	func(kind failure.Kind, status int, retryAfter, name string) {
		w := httptest.NewRecorder()
		httpjson.WriteError(w, failure.New(kind, "why"))
		Expect(w.Code).To(Equal(status))
		Expect(w.Header().Get("Content-Type")).To(Equal("application/json"))
		Expect(w.Header().Get("Retry-After")).To(Equal(retryAfter))
		Expect(w.Body.String()).To(MatchJSON(`{"error":"` + name + `","message":"` + name + `: why"}`))
	},
	Entry("an error after which a retry may succeed", failure.Unavailable, 503, "1", "unavailable"),
	Entry("a final error", failure.Invalid, 400, "", "invalid"),
)

var _ = It("WriteMethodNotAllowed names the allowed methods", func() {
	w := httptest.NewRecorder()
	httpjson.WriteMethodNotAllowed(w, "GET, POST")
	Expect(w.Code).To(Equal(http.StatusMethodNotAllowed))
	Expect(w.Header().Get("Allow")).To(Equal("GET, POST"))
	Expect(w.Body.String()).To(MatchJSON(`{"error":"method_not_allowed","message":"allowed methods: GET, POST"}`))
})
