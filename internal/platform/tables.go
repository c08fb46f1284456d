package platform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/gravitational/trace"
)

// The attributes of a row, and all expressions that the client uses on them.
const (
	attrGroup   = "pk"
	attrName    = "sk"
	attrVersion = "v"
	attrData    = "d"

	// ConditionAbsent holds when the row does not exist.
	ConditionAbsent = "attribute_not_exists(pk)"
	// ConditionVersion holds when the row's version is :v.
	ConditionVersion = "v = :v"
	// QueryGroup selects the rows of group :pk.
	QueryGroup = "pk = :pk"
)

// retryInterval is the time between attempts of a write or of the read that
// resolves its outcome.
const retryInterval = 50 * time.Millisecond

// Get implements TableStore.
func (c *Client) Get(ctx context.Context, key Key) (Row, error) {
	out, err := c.tables.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      aws.String(c.settings.Table),
		ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{
			attrGroup: &types.AttributeValueMemberS{Value: key.Group},
			attrName:  &types.AttributeValueMemberS{Value: key.Name},
		},
	})
	if err != nil {
		return Row{}, fmt.Errorf("platform: get %s/%s: %w", key.Group, key.Name, trace.ConnectionProblem(err, "table service"))
	}
	if len(out.Item) == 0 {
		return Row{}, fmt.Errorf("platform: get: %w", trace.NotFound("row %s/%s", key.Group, key.Name))
	}
	return rowFromItem(out.Item)
}

// List implements TableStore.
func (c *Client) List(ctx context.Context, group string) ([]Row, error) {
	var rows []Row
	pages := dynamodb.NewQueryPaginator(c.tables, &dynamodb.QueryInput{
		TableName:              aws.String(c.settings.Table),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String(QueryGroup),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":pk": &types.AttributeValueMemberS{Value: group},
		},
	})
	for pages.HasMorePages() {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, fmt.Errorf("platform: list %s: %w", group, trace.ConnectionProblem(err, "table service"))
		}
		for _, item := range page.Items {
			row, err := rowFromItem(item)
			if err != nil {
				// Another writer may have left it. Callers reject a row without data.
				row = Row{Key: Key{Group: group}}
				if name, ok := item[attrName].(*types.AttributeValueMemberS); ok {
					row.Key.Name = name.Value
				}
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Commit implements TableStore. It retries an attempt whose response was lost. If a
// retry then fails its condition, the data of the first row shows whether an earlier
// attempt took effect.
func (c *Client) Commit(ctx context.Context, token string, writes ...Write) error {
	outcomeUnknown := false
	for {
		err := c.tryCommit(ctx, token, writes)
		switch {
		case err == nil:
			return nil
		case isConditionFailure(err):
			return c.resolveConflict(ctx, outcomeUnknown, writes[0])
		}
		outcomeUnknown = true
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("platform: commit %s: %w", writes[0].Key.Group, ErrOutcomeUnknown)
		}
	}
}

// resolveConflict returns the result of a commit that failed its condition. If the
// outcome of an earlier attempt is unknown, that attempt may itself have changed the
// row, in which case the commit succeeded.
func (c *Client) resolveConflict(ctx context.Context, outcomeUnknown bool, first Write) error {
	if !outcomeUnknown {
		return fmt.Errorf("platform: commit: %w", trace.CompareFailed("row %s/%s", first.Key.Group, first.Key.Name))
	}
	for {
		row, err := c.Get(ctx, first.Key)
		if err == nil && row.Version == first.ExpectedVersion+1 && bytes.Equal(row.Data, first.Data) {
			return nil
		}
		if err == nil || trace.IsNotFound(err) {
			return fmt.Errorf("platform: commit: %w", trace.CompareFailed("row %s/%s", first.Key.Group, first.Key.Name))
		}
		if err := sleep(ctx, retryInterval); err != nil {
			return fmt.Errorf("platform: resolve commit %s: %w", first.Key.Group, ErrOutcomeUnknown)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (c *Client) tryCommit(ctx context.Context, token string, writes []Write) error {
	if len(writes) == 1 {
		put := c.newPut(writes[0])
		_, err := c.tables.PutItem(ctx, &dynamodb.PutItemInput{
			TableName:                 put.TableName,
			Item:                      put.Item,
			ConditionExpression:       put.ConditionExpression,
			ExpressionAttributeValues: put.ExpressionAttributeValues,
		})
		return err
	}
	items := make([]types.TransactWriteItem, len(writes))
	for i, w := range writes {
		items[i] = types.TransactWriteItem{Put: c.newPut(w)}
	}
	_, err := c.tables.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(token),
		TransactItems:      items,
	})
	return err
}

func (c *Client) newPut(w Write) *types.Put {
	put := &types.Put{
		TableName: aws.String(c.settings.Table),
		Item: map[string]types.AttributeValue{
			attrGroup:   &types.AttributeValueMemberS{Value: w.Key.Group},
			attrName:    &types.AttributeValueMemberS{Value: w.Key.Name},
			attrVersion: &types.AttributeValueMemberN{Value: strconv.FormatUint(w.ExpectedVersion+1, 10)},
			attrData:    &types.AttributeValueMemberB{Value: w.Data},
		},
		ConditionExpression: aws.String(ConditionAbsent),
	}
	if w.ExpectedVersion > 0 {
		put.ConditionExpression = aws.String(ConditionVersion)
		put.ExpressionAttributeValues = map[string]types.AttributeValue{
			":v": &types.AttributeValueMemberN{Value: strconv.FormatUint(w.ExpectedVersion, 10)},
		}
	}
	return put
}

func isConditionFailure(err error) bool {
	var single *types.ConditionalCheckFailedException
	var many *types.TransactionCanceledException
	return errors.As(err, &single) || errors.As(err, &many)
}

func rowFromItem(item map[string]types.AttributeValue) (Row, error) {
	group, ok1 := item[attrGroup].(*types.AttributeValueMemberS)
	name, ok2 := item[attrName].(*types.AttributeValueMemberS)
	version, ok3 := item[attrVersion].(*types.AttributeValueMemberN)
	data, ok4 := item[attrData].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return Row{}, fmt.Errorf("platform: row: %w", trace.BadParameter("an attribute is missing or has the wrong type"))
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("platform: row version: %w", err)
	}
	return Row{Key: Key{Group: group.Value, Name: name.Value}, Version: n, Data: data.Value}, nil
}
