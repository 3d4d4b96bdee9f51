#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into target/review-2. Needs g++ and the header of nlohmann-json, which the deploy file names.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++17 -O1 -pthread -Wall -Wextra "$source" -o "target/review-2/$name"
done
