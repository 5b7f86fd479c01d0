chestnutroad status $NOSTATUS $GARBAGE
chestnutroad status --timeout 50ms $SILENT
