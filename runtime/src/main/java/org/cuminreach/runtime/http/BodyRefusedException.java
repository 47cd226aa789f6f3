package org.cuminreach.runtime.http;

/** Marks a request whose body is not received. */
final class BodyRefusedException extends Exception {
    private static final long serialVersionUID = 1;

    private final transient HttpAnswer answer;

    BodyRefusedException(HttpAnswer answer) {
        super("body refused", null, false, false);
        this.answer = answer;
    }

    HttpAnswer answer() {
        return answer;
    }
}
