package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/valyala/fasthttp"
)

// attribute is a typed value of the table service's JSON.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B string `json:"B,omitempty"`
}

type item map[string]attribute

// put is one conditional write, alone or in a transaction.
type put struct {
	Item      item   `json:"Item"`
	Condition string `json:"ConditionExpression"`
	Values    item   `json:"ExpressionAttributeValues"`
}

type tableRequest struct {
	put
	Key   item   `json:"Key"`
	Token string `json:"ClientRequestToken"`
	Items []struct {
		Put put `json:"Put"`
	} `json:"TransactItems"`
}

type tableError struct {
	Type    string         `json:"__type"`
	Message string         `json:"message"`
	Reasons []cancelReason `json:"CancellationReasons,omitempty"`
}

type cancelReason struct {
	Code string `json:"Code"`
}

type oneItem struct {
	Item item `json:"Item,omitempty"`
}

type manyItems struct {
	Items []item `json:"Items"`
	Count int    `json:"Count"`
}

const errorPrefix = "com.amazonaws.dynamodb.v20120810#"

func (p *Platform) table(ctx *fasthttp.RequestCtx) {
	var req tableRequest
	if !accept(ctx, &req) {
		return
	}
	target := string(ctx.Request.Header.Peek("X-Amz-Target"))
	_, operation, _ := strings.Cut(target, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	switch operation {
	case "GetItem":
		p.reads++
		reply(ctx, fasthttp.StatusOK, oneItem{Item: p.rows[req.Key["pk"].S][req.Key["sk"].S]})
	case "Query":
		p.reads++
		reply(ctx, fasthttp.StatusOK, p.query(req.Values[":pk"].S))
	case "PutItem":
		p.write(ctx, []put{req.put}, "ConditionalCheckFailedException")
	case "TransactWriteItems":
		p.transact(ctx, req)
	default:
		reply(ctx, fasthttp.StatusBadRequest, tableError{Type: errorPrefix + "UnknownOperationException", Message: operation})
	}
}

func (p *Platform) query(group string) manyItems {
	rows := p.rows[group]
	out := manyItems{Items: []item{}}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		out.Items = append(out.Items, rows[name])
	}
	out.Count = len(out.Items)
	return out
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx, req tableRequest) {
	if p.tokens[req.Token] {
		reply(ctx, fasthttp.StatusOK, oneItem{})
		return
	}
	writes := make([]put, len(req.Items))
	for i, w := range req.Items {
		writes[i] = w.Put
	}
	if p.write(ctx, writes, "TransactionCanceledException") {
		p.tokens[req.Token] = true
	}
}

// write does all puts or none, and may then lose the answer. It reports
// whether they took effect.
func (p *Platform) write(ctx *fasthttp.RequestCtx, writes []put, failure string) bool {
	p.writes += len(writes)
	for _, w := range writes {
		if !p.holds(w) {
			reply(ctx, fasthttp.StatusBadRequest, tableError{
				Type: errorPrefix + failure, Message: "condition",
				Reasons: []cancelReason{{Code: "ConditionalCheckFailed"}},
			})
			return false
		}
	}
	for _, w := range writes {
		group := w.Item["pk"].S
		if p.rows[group] == nil {
			p.rows[group] = make(map[string]item)
		}
		p.rows[group][w.Item["sk"].S] = w.Item
	}
	if p.faults.LostAnswerFraction > 0 && p.random.Float64() < p.faults.LostAnswerFraction {
		ctx.Error("answer lost", fasthttp.StatusInternalServerError)
		return true
	}
	reply(ctx, fasthttp.StatusOK, oneItem{})
	return true
}

func (p *Platform) holds(w put) bool {
	row, exists := p.rows[w.Item["pk"].S][w.Item["sk"].S]
	switch w.Condition {
	case platform.ConditionAbsent:
		return !exists
	case platform.ConditionVersion:
		return exists && row["v"].N == w.Values[":v"].N
	default:
		return false
	}
}
