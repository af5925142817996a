# The tasks of this project; each is one command of Maven or of the program itself.
.PHONY: build test lint run clean

build:
	mvn -q -DskipTests package

test:
	mvn -B verify

lint:
	mvn -q -B checkstyle:check@lint

# Needs PROXY_CONFIG, the path of a configuration (README, Configuration).
run: build
	java -jar target/amberpath.jar serve

clean:
	mvn -q clean
