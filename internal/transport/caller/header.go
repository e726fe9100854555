package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"celerypin.example/celerypin/internal/protocol/caller"
	"celerypin.example/celerypin/internal/protocol/upstream"
)

// connectionHeaders apply to a single connection and are not forwarded. Trailers are not
// forwarded either.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Expect",
}

// reservedHeaders are set by the system and are not forwarded from callers.
var reservedHeaders = []string{
	caller.KeyHeader, caller.RequestIDHeader, caller.DeadlineHeader,
	upstream.ExchangeHeader, upstream.HostHeader, upstream.AccountHeader, upstream.DeadlineHeader, upstream.RequestIDHeader,
}

// outgoingHeader returns the headers to forward to an upstream. Header lines that contain the
// caller's key anywhere are left out.
func outgoingHeader(in http.Header, key string) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		for _, value := range values {
			if key == "" || !containsKey(name+": "+value, key) {
				out[name] = append(out[name], value)
			}
		}
	}
	removeConnectionHeaders(out, in)
	for _, name := range reservedHeaders {
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

// deleteFold deletes a header, ignoring the case of its name.
func deleteFold(h http.Header, name string) {
	for existing := range h {
		if strings.EqualFold(existing, name) {
			delete(h, existing)
		}
	}
}

// exposesKey reports whether the URL contains the key, escaped or not.
func exposesKey(u *url.URL, key string) bool {
	if containsKey(u.RequestURI(), key) || containsKey(u.Path, key) {
		return true
	}
	query, err := url.QueryUnescape(u.RawQuery)
	return err != nil || containsKey(query, key)
}

// containsKey reports whether text contains the key. It ignores case, because the names of
// headers change their case in transit.
func containsKey(text, key string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(key))
}

func copyResponseHeader(out, in http.Header) {
	for name, values := range in {
		out[name] = append([]string(nil), values...)
	}
	removeConnectionHeaders(out, in)
	out.Del(upstream.ExchangeHeader)
	out.Del(upstream.DrainingHeader)
}
