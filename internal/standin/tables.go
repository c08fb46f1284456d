package standin

import (
	"maps"
	"slices"
	"strings"

	"github.com/marjoramrock/marjoramrock/internal/platform"
	"github.com/valyala/fasthttp"
)

// attribute is a typed value in the JSON of the table service.
type attribute struct {
	S string `json:"S,omitempty"`
	N string `json:"N,omitempty"`
	B string `json:"B,omitempty"`
}

type item map[string]attribute

// put is a conditional write, alone or in a transaction.
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

type itemResponse struct {
	Item item `json:"Item,omitempty"`
}

type queryResponse struct {
	Items []item `json:"Items"`
	Count int    `json:"Count"`
}

const errorTypePrefix = "com.amazonaws.dynamodb.v20120810#"

func (p *Platform) handleTable(ctx *fasthttp.RequestCtx) {
	var req tableRequest
	if !decodeBody(ctx, &req) {
		return
	}
	target := string(ctx.Request.Header.Peek("X-Amz-Target"))
	_, operation, _ := strings.Cut(target, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	switch operation {
	case "GetItem":
		p.reads++
		writeJSON(ctx, fasthttp.StatusOK, itemResponse{Item: p.rows[req.Key["pk"].S][req.Key["sk"].S]})
	case "Query":
		p.reads++
		writeJSON(ctx, fasthttp.StatusOK, p.query(req.Values[":pk"].S))
	case "PutItem":
		p.write(ctx, []put{req.put}, "ConditionalCheckFailedException")
	case "TransactWriteItems":
		p.transact(ctx, req)
	default:
		writeJSON(ctx, fasthttp.StatusBadRequest, tableError{Type: errorTypePrefix + "UnknownOperationException", Message: operation})
	}
}

func (p *Platform) query(group string) queryResponse {
	rows := p.rows[group]
	out := queryResponse{Items: []item{}}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		out.Items = append(out.Items, rows[name])
	}
	out.Count = len(out.Items)
	return out
}

func (p *Platform) transact(ctx *fasthttp.RequestCtx, req tableRequest) {
	if p.committedTokens[req.Token] {
		writeJSON(ctx, fasthttp.StatusOK, itemResponse{})
		return
	}
	writes := make([]put, len(req.Items))
	for i, w := range req.Items {
		writes[i] = w.Put
	}
	if p.write(ctx, writes, "TransactionCanceledException") {
		p.committedTokens[req.Token] = true
	}
}

// write does all puts or none. Under the LostAnswerFraction fault it may do them and
// answer with an error. It reports whether the puts took effect.
func (p *Platform) write(ctx *fasthttp.RequestCtx, writes []put, failure string) bool {
	p.writes += len(writes)
	for _, w := range writes {
		if !p.conditionHolds(w) {
			writeJSON(ctx, fasthttp.StatusBadRequest, tableError{
				Type: errorTypePrefix + failure, Message: "condition",
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
	writeJSON(ctx, fasthttp.StatusOK, itemResponse{})
	return true
}

func (p *Platform) conditionHolds(w put) bool {
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
