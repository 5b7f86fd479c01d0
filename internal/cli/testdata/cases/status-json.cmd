chestnutroad status --json $UNREADY
