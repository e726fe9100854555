package table

import (
	"celerypin.example/celerypin/pkg/state/id"
	"celerypin.example/celerypin/pkg/state/unit"
)

// Share is a part of a budget: a rate per second and a burst.
type Share struct {
	Rate  unit.Tokens `json:"rate"`
	Burst unit.Tokens `json:"burst"`
}

// Grant is the part of a budget that one host incarnation has.
//
// Share is the part the holder should use; Held is the largest part it may still be
// using. Held drops to Share only when the holder has confirmed the lower Share.
type Grant struct {
	Host        id.Host        `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	Share       Share          `json:"share"`
	Held        Share          `json:"held"`
}

// Budget is the division of one account's limits among hosts. The sum of Held never
// exceeds Total, except while holders have yet to confirm a lowered Total.
type Budget struct {
	Account id.Account `json:"account"`
	Total   Share      `json:"total"`
	Grants  []Grant    `json:"grants,omitempty"`
}
