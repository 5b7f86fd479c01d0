chestnutroad status $READY
chestnutroad status --shards $READY $PARTLY
chestnutroad status $READY $UNREADY
