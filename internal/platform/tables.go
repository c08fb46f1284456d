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

// The attributes of a row, and the only conditions used on them.
const (
	attrGroup   = "pk"
	attrName    = "sk"
	attrVersion = "v"
	attrData    = "d"

	// ConditionAbsent holds when the row does not exist.
	ConditionAbsent = "attribute_not_exists(pk)"
	// ConditionVersion holds when the row's version is :v.
	ConditionVersion = "v = :v"
	// QueryGroup selects a group.
	QueryGroup = "pk = :pk"
)

// retryPause is the time between attempts of one write.
const retryPause = 50 * time.Millisecond

// Get implements Tables.
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
	return rowOf(out.Item)
}

// List implements Tables.
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
			row, err := rowOf(item)
			if err != nil {
				return nil, fmt.Errorf("platform: list %s: %w", group, err)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Commit implements Tables. It repeats an attempt whose answer was lost and
// tells its own earlier effect by the data of the first row.
func (c *Client) Commit(ctx context.Context, token string, writes ...Write) error {
	doubtful := false
	for {
		err := c.attempt(ctx, token, writes)
		switch {
		case err == nil:
			return nil
		case isConditionFailure(err):
			return c.settle(ctx, doubtful, writes[0])
		}
		doubtful = true
		if err := pause(ctx, retryPause); err != nil {
			return fmt.Errorf("platform: commit %s: %w", writes[0].Key.Group, ErrOutcomeUnknown)
		}
	}
}

// settle decides a failed condition: after a lost answer it may be this
// writer's own earlier attempt that stands.
func (c *Client) settle(ctx context.Context, doubtful bool, first Write) error {
	if !doubtful {
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
		if err := pause(ctx, retryPause); err != nil {
			return fmt.Errorf("platform: resolve %s: %w", first.Key.Group, ErrOutcomeUnknown)
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (c *Client) attempt(ctx context.Context, token string, writes []Write) error {
	if len(writes) == 1 {
		put := c.put(writes[0])
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
		items[i] = types.TransactWriteItem{Put: c.put(w)}
	}
	_, err := c.tables.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: aws.String(token),
		TransactItems:      items,
	})
	return err
}

func (c *Client) put(w Write) *types.Put {
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

func rowOf(item map[string]types.AttributeValue) (Row, error) {
	group, ok1 := item[attrGroup].(*types.AttributeValueMemberS)
	name, ok2 := item[attrName].(*types.AttributeValueMemberS)
	version, ok3 := item[attrVersion].(*types.AttributeValueMemberN)
	data, ok4 := item[attrData].(*types.AttributeValueMemberB)
	if !ok1 || !ok2 || !ok3 || !ok4 {
		return Row{}, fmt.Errorf("platform: row: %w", trace.BadParameter("an attribute is missing"))
	}
	n, err := strconv.ParseUint(version.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("platform: row version: %w", err)
	}
	return Row{Key: Key{Group: group.Value, Name: name.Value}, Version: n, Data: data.Value}, nil
}
