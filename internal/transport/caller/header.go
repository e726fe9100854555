package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/internal/protocol/upstream"
)

// connectionHeaders concern one connection only and are not passed on. A
// trailer is not passed on either.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// ownHeaders are set by the system and are not taken from callers.
var ownHeaders = []string{
	caller.KeyHeader, caller.RequestIDHeader, caller.DeadlineHeader,
	upstream.ExchangeHeader, upstream.HostHeader, upstream.AccountHeader, upstream.DeadlineHeader, upstream.RequestIDHeader,
}

// outgoingHeader returns the headers that an upstream may see. Any header that
// carries the caller's key, wherever it stands in it, is left out.
func outgoingHeader(in http.Header, clear string) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		for _, value := range values {
			if clear == "" || !carries(name+": "+value, clear) {
				out[name] = append(out[name], value)
			}
		}
	}
	removeConnectionHeaders(out, in)
	for _, name := range ownHeaders {
		deleteFold(out, name)
	}
	return out
}

func removeConnectionHeaders(out, in http.Header) {
	for _, list := range in["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
}

// deleteFold deletes a header in any case.
func deleteFold(h http.Header, name string) {
	for have := range h {
		if strings.EqualFold(have, name) {
			delete(h, have)
		}
	}
}

// exposesKey tells whether the key stands in the URL, as such or escaped.
func exposesKey(u *url.URL, clear string) bool {
	if carries(u.RequestURI(), clear) || carries(u.Path, clear) {
		return true
	}
	query, err := url.QueryUnescape(u.RawQuery)
	return err != nil || carries(query, clear)
}

// carries tells whether text contains the key in any case, because names of
// headers change their case on the way.
func carries(text, clear string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(clear))
}

func copyAnswerHeader(out, in http.Header) {
	for name, values := range in {
		out[name] = append([]string(nil), values...)
	}
	removeConnectionHeaders(out, in)
	out.Del(upstream.ExchangeHeader)
	out.Del(upstream.DrainingHeader)
}
