package review2;

/** The case could not be run, so that nothing is known about the rule. */
final class CannotRunException extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRunException(String message) {
        super(message);
    }
}
