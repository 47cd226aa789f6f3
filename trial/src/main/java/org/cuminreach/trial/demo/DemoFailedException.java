package org.cuminreach.trial.demo;

/** A step without which the demonstration cannot go on. */
final class DemoFailedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    DemoFailedException(String message) {
        super(message);
    }
}
