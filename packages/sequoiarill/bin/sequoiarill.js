#!/usr/bin/env node
require('../lib/main');
